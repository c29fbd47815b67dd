use goldcrestvale_base::{
    domain,
    id::{Digest, Incarnation, Instance, Offset},
};

use super::record::Intent;

domain! {
    copy
    /// What a call of a key must repeat: a short digest of customer, service and request.
    #[serde(transparent)]
    pub struct Fingerprint(uuid::Uuid);

    /// How far the call of a claimed key has come, as far as the log tells.
    #[serde(rename_all = "kebab-case")]
    pub enum Standing {
        /// Claimed; the call may have run.
        Claimed,
        /// The call ran and was answered with this HTTP status.
        Settled(u16),
    }

    /// One key, as kept by the fold.
    pub(super) struct Entry {
        pub(super) fingerprint: Fingerprint,
        pub(super) claim: Offset,
        pub(super) owner: u32,
        pub(super) standing: Standing,
    }
}

domain! {
    value
    /// The process that won a key.
    pub struct Owner {
        /// This life of the process.
        pub incarnation: Incarnation,
        /// Its instance.
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
