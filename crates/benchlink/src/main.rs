//! Hosts many balancers on the simulator's wire: framing, settings and the table of instances. It decides
//! nothing. Input that is malformed ends it with a message on standard error and a non-zero exit.

mod wire;

use laurelroute_policy::interface::{Action, Event};
use laurelroute_policy::settings::{self, LoadReportField, SettingPairs};
use laurelroute_policy::Balancer;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::process::ExitCode;
use wire::{Frame, Record, Reply, WireError};

struct Instance {
    balancer: Balancer,
    fields: Vec<LoadReportField>,
}

#[derive(Default)]
struct Host {
    instances: BTreeMap<u32, Instance>,
    actions: Vec<Action>,
    reply: Reply,
}

impl Host {
    fn batch(&mut self, bytes: &[u8]) -> Result<Vec<u8>, WireError> {
        let frame = Frame::new(bytes)?;
        for k in 0..frame.len() {
            let (id, record) = frame.record(k)?;
            self.record(frame.clock, k, id, record)?;
        }
        Ok(self.reply.take())
    }

    fn record(&mut self, now: u64, k: usize, id: u32, record: Record<'_>) -> Result<(), WireError> {
        let event = match record {
            Record::Start { seed, settings } => {
                let fail = |message| WireError::Settings { record: k, message };
                let pairs = SettingPairs::from_lines(settings).map_err(fail)?;
                let (settings, fields) = settings::parse(&pairs).map_err(fail)?;
                let balancer = Balancer::new(settings, seed).map_err(|e| fail(e.to_string()))?;
                self.instances.insert(id, Instance { balancer, fields });
                return Ok(());
            }
            Record::Stop => {
                self.instances.remove(&id);
                return Ok(());
            }
            Record::List { kind, servers } => Event::List { kind, servers },
            Record::Request(request) => Event::Request(request),
            Record::Message { from, bytes } => Event::Message { from, bytes: bytes.to_vec() },
            Record::ClientGone { request } => Event::ClientDisconnected { request },
            Record::Probed { server, ending, took, report } => {
                let report = self.instances.get(&id).and_then(|i| report.named(&i.fields));
                Event::Probed { server, outcome: ending, took, report }
            }
            Record::Outcome { request, server, attempt, finished, took, ending, report } => {
                let report = self.instances.get(&id).and_then(|i| report.named(&i.fields));
                Event::AttemptEnded { request, server, attempt, finished, took, outcome: ending, report }
            }
            Record::StreamStarted { request, attempt, server, took } => {
                Event::StreamStarted { request, attempt, server, took }
            }
            Record::Timer { token } => Event::Timer { token },
        };
        // What is on its way to an instance that has just been killed falls on deaf ears.
        if let Some(instance) = self.instances.get_mut(&id) {
            instance.balancer.handle(now, event, &mut self.actions);
            for action in self.actions.drain(..) {
                self.reply.push(id, &action);
            }
        }
        Ok(())
    }
}

#[derive(Debug, thiserror::Error)]
enum HostError {
    #[error("batch {batch}: {error}")]
    Wire { batch: u64, error: WireError },
    #[error("standard input or output: {0}")]
    Io(#[from] io::Error),
}

/// Reads until the buffer holds `want` bytes or the input ends.
fn fill(input: &mut impl Read, buffer: &mut Vec<u8>, want: usize) -> io::Result<()> {
    let missing = want.saturating_sub(buffer.len()) as u64;
    input.take(missing).read_to_end(buffer).map(|_| ())
}

fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), HostError> {
    let mut host = Host::default();
    let mut buffer = Vec::new();
    for batch in 0.. {
        let wire = |error| HostError::Wire { batch, error };
        buffer.clear();
        fill(&mut input, &mut buffer, wire::HEADER)?;
        if buffer.is_empty() {
            break;
        }
        let Ok(header) = <[u8; wire::HEADER]>::try_from(buffer.as_slice()) else {
            let (have, want) = (buffer.len(), wire::HEADER);
            return Err(wire(WireError::Truncated { what: "frame header", have, want }));
        };
        fill(&mut input, &mut buffer, Frame::claimed(&header).map_err(wire)?)?;
        output.write_all(&host.batch(&buffer).map_err(wire)?)?;
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
