use goldcrestvale_ledger::claim::{Claim, Settled, Unanswered, Won};
use tokio::sync::mpsc;

use super::Command;

/// The permission to send the call of a key once; dropping it unused gives the call up.
#[derive(Debug)]
#[must_use = "dropping an unused permit gives the call up"]
pub struct DispatchPermit {
    claim: Option<Claim<Won>>,
    coordinator: mpsc::UnboundedSender<Command>,
}

/// Reports to the coordinator how a call ended.
#[derive(Debug)]
pub struct Completion {
    coordinator: mpsc::UnboundedSender<Command>,
}

impl DispatchPermit {
    pub(super) fn new(claim: Claim<Won>, coordinator: mpsc::UnboundedSender<Command>) -> Self {
        Self { claim: Some(claim), coordinator }
    }

    /// Takes the claim, to send its call.
    pub fn take(mut self) -> Option<(Claim<Won>, Completion)> {
        let claim = self.claim.take()?;
        Some((claim, Completion { coordinator: self.coordinator.clone() }))
    }
}

impl Drop for DispatchPermit {
    fn drop(&mut self) {
        if let Some(claim) = self.claim.take() {
            // A coordinator that has stopped has no more calls to answer.
            let _ = self.coordinator.send(Command::Returned(claim));
        }
    }
}

impl Completion {
    /// Reports that nothing was sent.
    pub fn report_unsent(self, claim: Claim<Won>) {
        self.report(Command::Returned(claim));
    }

    /// Reports that the service answered completely.
    pub fn report_settled(self, claim: Claim<Settled>) {
        self.report(Command::Settled(claim));
    }

    /// Reports that the call may have run.
    pub fn report_unanswered(self, claim: Claim<Unanswered>) {
        self.report(Command::Unanswered(claim));
    }

    fn report(self, command: Command) {
        if self.coordinator.send(command).is_err() {
            log::warn!(
                "a call ended after its claim stream stopped; other instances cannot learn its outcome"
            );
        }
    }
}
