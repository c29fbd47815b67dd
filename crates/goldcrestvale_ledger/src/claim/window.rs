use std::time::Duration;

use goldcrestvale_base::{domain, id::Key, time::Wall};

/// Maximum difference between the clocks of callers and of the platform.
///
/// This is not a setting: instances with different values would disagree on which claim was first.
pub const MAX_SKEW: Duration = Duration::from_secs(5);

domain! {
    copy
    /// The period in which a key can be claimed.
    pub struct Window {
        /// Maximum age of a key, counted from its issue.
        pub length: Duration,
    }

    /// A reason to refuse a claim regardless of other claims of the key.
    #[serde(rename_all = "kebab-case")]
    pub enum Refusal {
        /// The key is not a version 7 UUID.
        Malformed,
        /// The key is older than the window.
        TooOld,
        /// The key's time of issue is in the future.
        TooNew,
        /// The key may have been claimed before the first record that the reader knows.
        Unproven,
        /// The key was claimed for a different request, customer or service.
        Mismatch,
    }
}

impl Window {
    /// Checks the time of issue of a key against the time of the log.
    ///
    /// # Errors
    ///
    /// Returns the reason if the key is malformed, too old or too new.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use goldcrestvale_base::time::Wall;
    /// use goldcrestvale_ledger::claim::{Refusal, Window};
    ///
    /// let window = Window { length: Duration::from_secs(600) };
    /// let key = "0190a000-0000-7000-8000-000000000000".parse()?;
    /// let issued = Wall(0x0190_a000_0000);
    /// assert_eq!(window.check(&key, issued), Ok(issued));
    /// assert_eq!(window.check(&key, Wall(issued.0 + 600_001)), Err(Refusal::TooOld));
    /// assert_eq!(window.check(&key, Wall(issued.0 - 5_001)), Err(Refusal::TooNew));
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn check(&self, key: &Key, clock: Wall) -> Result<Wall, Refusal> {
        let issued = key.issued().ok_or(Refusal::Malformed)?;
        if clock > later(issued, self.length) {
            return Err(Refusal::TooOld);
        }
        if issued > later(clock, MAX_SKEW) {
            return Err(Refusal::TooNew);
        }
        Ok(issued)
    }

    /// Returns whether a reader without gaps since `since` knows every claim of a key.
    ///
    /// If the key was issued more than one [`MAX_SKEW`] after that time, a claim written earlier
    /// was refused as too new; a second [`MAX_SKEW`] covers steps of the platform's clock.
    pub fn proves(&self, since: Option<Wall>, issued: Wall) -> bool {
        match since {
            None => false,
            Some(Wall(0)) => true,
            Some(since) => issued > later(since, MAX_SKEW * 2),
        }
    }

    /// Returns whether a reader without gaps since `since` knows the claims of every key that can
    /// be claimed now.
    pub fn proves_all(&self, since: Option<Wall>, clock: Wall) -> bool {
        let oldest = earlier(clock, self.length);
        self.proves(since, oldest)
    }

    /// Returns the time before which no record affects keys that can be claimed now.
    pub(crate) fn horizon(&self, clock: Wall) -> Wall {
        earlier(clock, self.length + MAX_SKEW * 2)
    }
}

fn later(at: Wall, span: Duration) -> Wall {
    Wall(at.0.saturating_add(millis(span)))
}

fn earlier(at: Wall, span: Duration) -> Wall {
    Wall(at.0.saturating_sub(millis(span)))
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
