//! Follows the configuration stream of the platform log.

use std::{sync::Arc, time::Duration};

use goldcrestvale_base::id::Offset;
use goldcrestvale_config::change::STREAM;
use goldcrestvale_platform::{Error, message::Record, reader::Reader};
use log::{error, info, warn};
use opentelemetry::KeyValue;
use tokio_util::sync::CancellationToken;

use super::State;
use crate::{node::Node, phase::Prerequisite, records::RETRY_DELAY};

/// Reads the configuration stream and folds it, starting at the newest checkpoint.
pub(super) async fn follow(node: Arc<Node>, stop: CancellationToken) {
    let mut status = node.configuration.subscribe();
    let read = status.wait_for(|status| status.checkpoints_read);
    if stop.run_until_cancelled(read).await.is_none() {
        return;
    }
    resume(&node, Offset(0));
    let mut reader = Reader::new(node.log.clone(), STREAM, Offset(0));
    let mut wait = Duration::ZERO;
    loop {
        // Another instance may have sent a newer state, or a record could not be folded.
        let next = node.configuration.status().offer.version;
        if next != reader.position() {
            reader.seek(next);
        }
        let Some(read) = stop.run_until_cancelled(reader.read(wait)).await else { return };
        wait = Duration::ZERO;
        let can_continue = match read {
            Ok(records) => {
                let folded = fold_records(&node, &reader, &records);
                if folded && reader.position() >= reader.end() {
                    wait = node.settings.platform.poll;
                }
                folded
            }
            Err(e) => record_failure(&node, &e),
        };
        if !can_continue
            && stop.run_until_cancelled(tokio::time::sleep(RETRY_DELAY)).await.is_none()
        {
            return;
        }
    }
}

/// Folds a page of records; returns whether all of them were folded.
fn fold_records(node: &Arc<Node>, reader: &Reader, records: &[Record]) -> bool {
    let manager = &node.configuration;
    let version = manager.update(node, |state| {
        for record in records {
            fold_record(state, record);
        }
        state.regressions = reader.regressions();
        state.unproven = None;
        state.fold.version()
    });
    manager.update_status(|status| status.log_up = true);
    let folded = version >= reader.position();
    if folded && version >= reader.end() {
        node.lifecycle.satisfy(Prerequisite::Config);
    }
    folded
}

fn fold_record(state: &mut State, record: &Record) {
    let stopped = state.fold.stop().cloned();
    let outcome = state.fold.apply(record.offset, record.id, record.data.get());
    match state.fold.stop() {
        Some(stop) if stopped.as_ref() != Some(stop) => {
            error!(offset = record.offset.0, stop:? = stop; "the configuration goes no further");
        }
        Some(_) => {}
        None => info!(
            offset = record.offset.0,
            id:% = record.id,
            outcome:? = outcome;
            "configuration record read"
        ),
    }
}

/// Records a failed read; returns whether the next attempt needs no delay.
fn record_failure(node: &Arc<Node>, e: &Error) -> bool {
    let manager = &node.configuration;
    if let Error::Trimmed { oldest, .. } = e {
        manager.update_status(|status| status.log_up = true);
        return resume(node, *oldest);
    }
    node.metrics.platform_failures.add(1, &[KeyValue::new("call", "read-config")]);
    if manager.status().log_up {
        warn!(error:% = e; "the platform log cannot be read");
        manager.update_status(|status| status.log_up = false);
    }
    false
}

/// Replaces the state with that of a checkpoint if the log no longer continues the state; returns
/// whether the log and the checkpoints contain everything that the state needs.
fn resume(node: &Arc<Node>, oldest: Offset) -> bool {
    node.configuration.update(node, |state| {
        let checkpoint = state.writer.latest().cloned();
        let resumed = state.fold.try_resume(oldest, checkpoint.as_ref());
        let reason = resumed.err().map(|e| e.to_string());
        if let Some(text) = &reason
            && state.unproven.as_ref() != Some(text)
        {
            error!(cause:% = text; "the configuration cannot be proved");
        }
        state.unproven = reason;
        state.unproven.is_none()
    })
}
