//! The expected size of one stream.

use crate::pipeline::Size;

/// Minimum share of the expected answer that a stream counts as still writing. Long answers have a
/// long tail: one that has reached its expected length goes on for about as long again.
const MIN_REST_SHARE: f64 = 0.5;

goldcrestvale_base::domain! {
    record
    /// Expected size of a stream, in tokens.
    #[derive(Copy)]
    pub struct Estimate {
        /// Tokens of the prompt.
        pub prompt: f64,
        /// Tokens of the answer, in the mean.
        pub answer: f64,
        /// Tokens that nine of ten answers of this kind do not exceed.
        pub answer_high: f64,
        /// Tokens in an event.
        pub stride: f64,
    }
}

impl Estimate {
    /// Returns the size of what is left after a number of events: what was written is read again
    /// together with the prompt when the stream resumes on another chain.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_route::cost::Estimate;
    ///
    /// let estimate = Estimate { prompt: 700.0, answer: 200.0, answer_high: 400.0, stride: 5.0 };
    /// let rest = estimate.after(10);
    /// assert_eq!((rest.prompt, rest.answer, rest.answer_high), (750.0, 150.0, 350.0));
    /// // An answer that outlasts its estimate still counts as writing.
    /// assert_eq!(estimate.after(100).answer, 100.0);
    /// ```
    pub fn after(&self, events: u64) -> Size {
        let written = self.written(events);
        let rest = (self.answer - written).max(self.answer * MIN_REST_SHARE);
        Size {
            prompt: self.prompt + written,
            answer: rest,
            answer_high: (self.answer_high - written).max(rest),
        }
    }

    /// Returns the tokens that the stream holds after a number of events and those that it will
    /// still write.
    pub fn tokens(&self, events: u64) -> f64 {
        let size = self.after(events);
        size.prompt + size.answer
    }

    /// Returns the tokens of a number of events.
    pub fn written(&self, events: u64) -> f64 {
        events as f64 * self.stride
    }
}
