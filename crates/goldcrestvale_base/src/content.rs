//! The content of requests, by which one that comes again is recognized.

use std::fmt;

use crate::id::Digest;

domain! {
    copy
    /// Identifier of the content of a request; a request that its caller sends again has the same one.
    /// Its upper 16 bits name the caller.
    #[serde(transparent)]
    pub struct Content(pub u64);
}

/// Number of bits that tell the requests of one caller apart.
const REQUEST_BITS: u32 = 48;

impl Content {
    /// Returns the identifier of a request of a caller; both consist of pieces as in [`Content::of`].
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_base::content::Content;
    ///
    /// let book = Content::of_caller(&[b"family"], &[b"/book"]);
    /// let status = Content::of_caller(&[b"family"], &[b"/status"]);
    /// assert_ne!(book, status);
    /// assert_eq!(book.caller(), status.caller());
    /// ```
    pub fn of_caller(caller: &[&[u8]], pieces: &[&[u8]]) -> Self {
        let all: Vec<&[u8]> = caller.iter().chain(pieces).copied().collect();
        let request = Self::of(&all).0 & ((1 << REQUEST_BITS) - 1);
        Self(Digest::of_pieces(caller).short() << REQUEST_BITS | request)
    }

    /// Returns the part that names the caller. Two callers rarely have the same one.
    pub fn caller(self) -> u16 {
        (self.0 >> REQUEST_BITS) as u16
    }

    /// Returns the identifier of a request that consists of these pieces, such as its caller, its
    /// path and its body. Each piece counts apart from its neighbours.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_base::content::Content;
    ///
    /// assert_eq!(Content::of(&[b"family", b"/book"]), Content::of(&[b"family", b"/book"]));
    /// assert_ne!(Content::of(&[b"family", b"/book"]), Content::of(&[b"familie", b"s/book"]));
    /// ```
    pub fn of(pieces: &[&[u8]]) -> Self {
        Self(Digest::of_pieces(pieces).short())
    }
}

impl fmt::Display for Content {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
