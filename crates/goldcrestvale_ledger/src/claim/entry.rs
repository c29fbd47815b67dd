use goldcrestvale_base::{
    domain,
    id::{Digest, Incarnation, Instance, Offset},
};

use super::record::Intent;

domain! {
    copy
    /// A short digest of customer, service and request, which every call of a key must share.
    #[serde(transparent)]
    pub struct Fingerprint(uuid::Uuid);

    /// The progress of the call of a claimed key, according to the log.
    #[serde(rename_all = "kebab-case")]
    pub enum Standing {
        /// Claimed; the call may have run.
        Claimed,
        /// The call ran; the service answered with this HTTP status.
        Settled(u16),
    }

    /// The state of one key in the fold.
    pub(super) struct Entry {
        pub(super) fingerprint: Fingerprint,
        pub(super) claim: Offset,
        pub(super) owner: u32,
        pub(super) standing: Standing,
    }
}

domain! {
    value
    /// The process whose claim of a key won.
    pub struct Owner {
        /// The incarnation of the process.
        pub incarnation: Incarnation,
        /// The instance of the process.
        pub instance: Instance,
    }
}

impl Fingerprint {
    /// Computes the fingerprint of a call.
    pub fn of(intent: &Intent) -> Self {
        let text = format!("{}/{}/{}", intent.customer, intent.service, intent.digest);
        let Digest(bytes) = Digest::of(text.as_bytes());
        let mut half = [0; 16];
        half.copy_from_slice(&bytes[..16]);
        Self(uuid::Uuid::from_bytes(half))
    }
}

impl Fingerprint {
    pub(super) fn to_bytes(self) -> [u8; 16] {
        self.0.into_bytes()
    }
}

impl Standing {
    pub(super) fn to_bytes(self) -> [u8; 3] {
        match self {
            Self::Claimed => [0, 0, 0],
            Self::Settled(status) => {
                let [low, high] = status.to_le_bytes();
                [1, low, high]
            }
        }
    }
}
