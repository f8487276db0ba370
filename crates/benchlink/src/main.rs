//! Adapter that runs many balancer instances for a simulator: it reads event batches from standard input and writes
//! action batches to standard output. It handles framing, settings and the table of instances; every balancing
//! decision is made by the policy crate. Malformed input ends the process with a message on standard error and a
//! non-zero exit code.

mod wire;

use laurelroute_policy::interface::{Action, Event};
use laurelroute_policy::settings::{self, LoadReportField, SettingPairs};
use laurelroute_policy::Balancer;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::process::ExitCode;
use wire::{EventRecord, Frame, Reply, WireError};

/// A balancer and the order of the values in its load reports.
struct Instance {
    balancer: Balancer,
    report_fields: Vec<LoadReportField>,
}

/// The running instances by id, with the buffers for their actions and the reply.
#[derive(Default)]
struct Host {
    instances: BTreeMap<u32, Instance>,
    actions: Vec<Action>,
    reply: Reply,
}

impl Host {
    /// Handles all records of one frame in order and returns the encoded reply.
    fn handle_batch(&mut self, bytes: &[u8]) -> Result<Vec<u8>, WireError> {
        let frame = Frame::new(bytes)?;
        for index in 0..frame.len() {
            let (id, record) = frame.record(index)?;
            self.handle_record(frame.clock, index, id, record)?;
        }
        Ok(self.reply.take_bytes())
    }

    /// Starts or stops an instance, or passes the event to it and collects its actions.
    fn handle_record(
        &mut self,
        now: u64,
        index: usize,
        id: u32,
        record: EventRecord<'_>,
    ) -> Result<(), WireError> {
        let event = match record {
            EventRecord::Start { seed, settings } => {
                let settings_error = |message| WireError::Settings { record: index, message };
                let pairs = SettingPairs::from_lines(settings).map_err(settings_error)?;
                let (settings, report_fields) = settings::parse(&pairs).map_err(settings_error)?;
                let balancer =
                    Balancer::new(settings, seed).map_err(|error| settings_error(error.to_string()))?;
                self.instances.insert(id, Instance { balancer, report_fields });
                return Ok(());
            }
            EventRecord::Stop => {
                self.instances.remove(&id);
                return Ok(());
            }
            EventRecord::List { kind, servers } => Event::List { kind, servers },
            EventRecord::Request(request) => Event::Request(request),
            EventRecord::Message { from, bytes } => Event::Message { from, bytes: bytes.to_vec() },
            EventRecord::ClientDisconnected { request } => Event::ClientDisconnected { request },
            EventRecord::Probed { server, outcome, took, report } => {
                let report =
                    self.instances.get(&id).and_then(|instance| report.load_report(&instance.report_fields));
                Event::Probed { server, outcome, took, report }
            }
            EventRecord::AttemptEnded { request, server, attempt, finished, took, outcome, report } => {
                let report =
                    self.instances.get(&id).and_then(|instance| report.load_report(&instance.report_fields));
                Event::AttemptEnded { request, server, attempt, finished, took, outcome, report }
            }
            EventRecord::StreamStarted { request, attempt, server, took } => {
                Event::StreamStarted { request, attempt, server, took }
            }
            EventRecord::Timer { token } => Event::Timer { token },
        };
        // Events can still arrive for an instance that has been stopped; they are dropped.
        if let Some(instance) = self.instances.get_mut(&id) {
            instance.balancer.handle(now, event, &mut self.actions);
            for action in self.actions.drain(..) {
                self.reply.push(id, &action);
            }
        }
        Ok(())
    }
}

/// A failure that ends the process; `batch` counts from 0.
#[derive(Debug, thiserror::Error)]
enum HostError {
    #[error("batch {batch}: {error}")]
    Wire { batch: u64, error: WireError },
    #[error("standard input or output: {0}")]
    Io(#[from] io::Error),
}

/// Reads until the buffer holds `target_length` bytes or the input ends.
fn read_up_to(input: &mut impl Read, buffer: &mut Vec<u8>, target_length: usize) -> io::Result<()> {
    let missing = target_length.saturating_sub(buffer.len()) as u64;
    input.take(missing).read_to_end(buffer).map(|_| ())
}

/// Answers batch after batch until the input ends between two frames.
fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), HostError> {
    let mut host = Host::default();
    let mut buffer = Vec::new();
    for batch in 0.. {
        let wire_error = |error| HostError::Wire { batch, error };
        buffer.clear();
        read_up_to(&mut input, &mut buffer, wire::HEADER_BYTES)?;
        if buffer.is_empty() {
            break;
        }
        let Ok(header) = <[u8; wire::HEADER_BYTES]>::try_from(buffer.as_slice()) else {
            let (received, expected) = (buffer.len(), wire::HEADER_BYTES);
            return Err(wire_error(WireError::Truncated { part: "frame header", received, expected }));
        };
        read_up_to(&mut input, &mut buffer, Frame::declared_length(&header).map_err(wire_error)?)?;
        output.write_all(&host.handle_batch(&buffer).map_err(wire_error)?)?;
        output.flush()?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("laurelroute-benchlink: {error}");
            ExitCode::FAILURE
        }
    }
}
