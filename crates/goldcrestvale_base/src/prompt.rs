//! The parts of prompts that requests share.

use std::fmt;

use smallvec::SmallVec;

use crate::id::Digest;

/// The shared parts of one prompt, in order.
pub type Parts = SmallVec<[Part; 4]>;

domain! {
    copy
    /// Identifier of a part of a prompt; requests with the same part have the same identifier.
    #[serde(transparent)]
    pub struct Part(pub u64);
}

impl Part {
    /// Returns the identifier of a part with this content or name.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_base::prompt::Part;
    ///
    /// assert_eq!(Part::of(b"You are a helpful clerk."), Part::of(b"You are a helpful clerk."));
    /// assert_ne!(Part::of(b"You are a helpful clerk."), Part::of(b"You are a poet."));
    /// ```
    pub fn of(content: &[u8]) -> Self {
        Self(Digest::of(content).short())
    }

    /// Returns the part with an identifier in hexadecimal digits; a longer identifier, or one of
    /// other characters, is hashed.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_base::prompt::Part;
    ///
    /// assert_eq!(Part::from_hex("5C1E07A2"), Part(0x5c1e_07a2));
    /// assert_eq!(Part::from_hex("5c1e07a2").to_string(), "5c1e07a2");
    /// ```
    pub fn from_hex(id: &str) -> Self {
        let id = id.trim();
        u64::from_str_radix(id, 16).map_or_else(|_| Self::of(id.as_bytes()), Self)
    }

    /// Returns the identifier of this part in the prompts of one customer, so that no customer's prompts
    /// speak for or against another one's.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_base::prompt::Part;
    ///
    /// let part = Part(0x5c1e_07a2);
    /// assert_eq!(part.of_customer("family"), part.of_customer("family"));
    /// assert_ne!(part.of_customer("family"), part.of_customer("neighbours"));
    /// ```
    pub fn of_customer(self, customer: &str) -> Self {
        Self(Digest::of_pieces(&[customer.as_bytes(), &self.0.to_le_bytes()]).short())
    }
}

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}
