//! The places of a service over all its chains.

use goldcrestvale_base::time::Instant;

use super::{Chain, Load, Model, Occupancy};

/// Share of the places below which a service is contested if only fewer are free.
const CONTESTED_SHARE: f64 = 0.1;

goldcrestvale_base::domain! {
    record
    /// Streams of average size that the chains of a service hold.
    #[derive(Copy, Default)]
    pub struct Places {
        /// Places of all chains.
        pub total: f64,
        /// Free places of all chains.
        pub free: f64,
    }
}

impl Places {
    /// Counts the places of chains and the free ones.
    pub fn new(model: &Model, candidates: &[(&Chain, Load)], now: Instant) -> Self {
        let mut places = Self::default();
        for (chain, load) in candidates {
            let occupancy = Occupancy::new(model, chain, load, now);
            places.total += occupancy.places();
            places.free += occupancy.free_places();
        }
        places
    }

    /// Returns whether so few places are free that streams compete for them.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_route::pipeline::Places;
    ///
    /// assert!(Places { total: 300.0, free: 29.0 }.is_scarce());
    /// assert!(!Places { total: 300.0, free: 30.0 }.is_scarce());
    /// ```
    pub fn is_scarce(&self) -> bool {
        self.free < self.total * CONTESTED_SHARE
    }
}
