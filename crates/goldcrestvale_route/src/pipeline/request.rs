//! What a new stream needs from the chains.

use goldcrestvale_base::id::Domain;

goldcrestvale_base::domain! {
    record
    /// Expected size of a stream, in tokens.
    #[derive(Copy)]
    pub struct Size {
        /// Tokens of the prompt.
        pub prompt: f64,
        /// Tokens of the answer, in the mean.
        pub answer: f64,
        /// Tokens that nine of ten answers of this kind do not exceed.
        pub answer_high: f64,
    }
}

/// A new stream, as the choice of a chain sees it.
///
/// # Examples
///
/// ```
/// use goldcrestvale_base::id::Domain;
/// use goldcrestvale_route::pipeline::Request;
///
/// let domain: Domain = "bole".parse()?;
/// let request = Request::new(&domain).keep_free(12.0);
/// assert_eq!(request.keep_free, 12.0);
/// assert!(request.size.is_none());
/// # Ok::<(), goldcrestvale_base::id::Error>(())
/// ```
#[derive(Debug, Clone, Copy)]
pub struct Request<'d> {
    /// Failure domain of the caller.
    pub domain: &'d Domain,
    /// Streams of average size that must still fit on the chains of the service beside this one.
    pub keep_free: f64,
    /// Expected size; `None` counts the stream as one of average size.
    pub size: Option<Size>,
}

impl<'d> Request<'d> {
    /// Creates a request of average size that keeps no capacity free.
    pub fn new(domain: &'d Domain) -> Self {
        Self { domain, keep_free: 0.0, size: None }
    }

    /// Sets the number of streams of average size that must still fit beside this one.
    pub fn keep_free(mut self, streams: f64) -> Self {
        self.keep_free = streams.max(0.0);
        self
    }

    /// Sets the expected size.
    pub fn size(mut self, size: Option<Size>) -> Self {
        self.size = size;
        self
    }
}
