//! Reads and writes checkpoints of the configuration, and upgrades its schema versions.

use std::{sync::Arc, time::Duration};

use goldcrestvale_base::{id::Offset, time::Instant};
use goldcrestvale_config::{
    change::{Data, STREAM},
    checkpoint,
    chunk::Chunk,
    record::Kind,
    schema::Table,
    stagger::Stagger,
    sync::Comparison,
};
use goldcrestvale_platform::{
    Error,
    message::{Entry, Record},
    reader::Reader,
};
use log::{error, info, warn};
use serde::Serialize;
use serde_json::value::to_raw_value;
use tokio_util::sync::CancellationToken;

use super::State;
use crate::node::Node;

/// Delay after a failed read of checkpoints. Only the start of an instance waits for this read.
const READ_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Maximum random delay before a schema version is upgraded.
const MAX_UPGRADE_DELAY: Duration = Duration::from_secs(3);

/// Reads the stream of checkpoints, and writes one when it is this instance's turn.
pub(super) async fn maintain(node: Arc<Node>, stop: CancellationToken) {
    let mut reader = Reader::new(node.log.clone(), checkpoint::STREAM, Offset(0));
    let mut stagger = Stagger::new(Duration::ZERO, MAX_UPGRADE_DELAY);
    let mut wait = Duration::ZERO;
    while let Some(read) = stop.run_until_cancelled(reader.read(wait)).await {
        wait = Duration::ZERO;
        match read {
            Ok(records) => apply_chunks(&node, &records),
            Err(Error::Trimmed { oldest, .. }) => {
                reader.seek(oldest);
                continue;
            }
            // The task in `tail` reports that the log is unavailable.
            Err(_) => {
                stop.run_until_cancelled(tokio::time::sleep(READ_RETRY_DELAY)).await;
                continue;
            }
        }
        if reader.position() >= reader.end() {
            node.configuration.update_status(|status| status.checkpoints_read = true);
            write(&node).await;
            upgrade_schema(&node, &mut stagger).await;
            wait = node.settings.platform.poll;
        }
    }
}

fn apply_chunks(node: &Arc<Node>, records: &[Record]) {
    let (now, instances) = (node.clock.now(), instances(node));
    let mut state = node.configuration.state();
    for record in records {
        let chunk: Chunk = match serde_json::from_str(record.data.get()) {
            Ok(chunk) => chunk,
            Err(e) => {
                warn!(offset = record.offset.0, error:% = e; "record is not part of a checkpoint");
                continue;
            }
        };
        apply_chunk(&mut state, now, record, chunk, instances);
    }
}

fn apply_chunk(state: &mut State, now: Instant, record: &Record, chunk: Chunk, instances: u32) {
    let before = state.writer.latest().map(|latest| latest.version);
    let State { fold, writer, rng, .. } = state;
    writer.receive(now, record.id.incarnation, chunk, instances, rng);
    let Some(latest) = writer.latest().filter(|latest| Some(latest.version) != before) else {
        return;
    };
    info!(version = latest.version.0, bytes = latest.text.len(); "checkpoint read");
    if fold.compare(latest.version, |digest| digest == latest.digest) == Comparison::Diverged {
        error!(version = latest.version.0; "a checkpoint has another state of this version");
    }
}

async fn write(node: &Arc<Node>) {
    let (now, instances) = (node.clock.now(), instances(node));
    let chunks = {
        let mut state = node.configuration.state();
        let State { fold, writer, rng, .. } = &mut *state;
        // Without any record there is nothing that could expire from the log.
        if fold.version() == Offset(0) {
            Vec::new()
        } else {
            writer.poll(now, fold, instances, rng)
        }
    };
    for chunk in &chunks {
        if let Err(e) = append(node, checkpoint::STREAM, chunk).await {
            // The set of chunks stays incomplete, and the next turn writes another.
            warn!(error:% = e, index = chunk.index; "checkpoint not written");
            return;
        }
    }
}

async fn upgrade_schema(node: &Arc<Node>, stagger: &mut Stagger) {
    let (now, instances) = (node.clock.now(), instances(node));
    let schema = u16::try_from(node.peers.snapshot().min_schema).unwrap_or(u16::MAX);
    let upgrades = {
        let mut state = node.configuration.state();
        let mut majors = Table::default().majors();
        majors.values_mut().for_each(|major| *major = schema.min(*major));
        let upgrades = state.fold.upgrades(&majors);
        match upgrades.is_empty() {
            true => stagger.stop(),
            false => stagger.start(now, instances, &mut state.rng),
        }
        upgrades
    };
    if !stagger.is_due(now) {
        return;
    }
    stagger.stop();
    for raise in upgrades {
        info!(kind:% = raise.kind, major = raise.major; "upgrading schema version");
        if let Err(e) = append(node, STREAM, &Data::Raise { raise }).await {
            warn!(error:% = e; "schema version not upgraded");
        }
    }
}

async fn append(
    node: &Node,
    stream: &str,
    data: &impl Serialize,
) -> goldcrestvale_platform::Result<()> {
    let data = to_raw_value(data).expect("chunks and upgrades have only string map keys");
    let entry = Entry { id: node.next_record_id(), data };
    node.log.append(stream, vec![entry]).await.map(drop)
}

/// Returns the lowest of the newest major versions that this software reads of the known kinds.
pub(crate) fn min_schema() -> u32 {
    let majors = Table::default().majors();
    Kind::KNOWN.iter().filter_map(|kind| majors.get(kind)).min().copied().unwrap_or(0).into()
}

fn instances(node: &Node) -> u32 {
    node.peers.snapshot().instance_count.max(1)
}
