//! `rig silence`: one of the two processes of a takeover is stopped at each step of it; how long new clients go unanswered.

use crate::report::{table, Failure, Outcome};
use crate::{Common, AS_PROGRAM};
use laurelroute_testkit::silence::{play, Stop, Who};
use std::path::PathBuf;
use std::time::Duration;

/// Milliseconds from the heir's start at which a process is stopped.
const STEPS: [u64; 9] = [0, 1, 2, 3, 6, 10, 20, 40, 80];
/// It goes on after this.
const LASTS: Duration = Duration::from_secs(3);

/// Which plays are wanted.
#[derive(Debug, clap::Args)]
pub struct Wanted {
    /// Plays each row of the table this often.
    #[arg(long, default_value_t = 1)]
    rounds: usize,
    /// A file for what the processes write.
    #[arg(long, value_name = "FILE")]
    output: Option<PathBuf>,
    /// Only these steps, in milliseconds from the new process's start.
    #[arg(long, value_name = "MS", value_delimiter = ',', default_values_t = STEPS)]
    steps: Vec<u64>,
    /// Only this process is stopped.
    #[arg(long)]
    only: Option<Struck>,
}

/// Which process is stopped, in the words of the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
enum Struck {
    /// The one that serves.
    Old,
    /// The one that takes over.
    New,
}

impl Struck {
    fn is(self, who: Who) -> bool {
        who == match self {
            Struck::Old => Who::Elder,
            Struck::New => Who::Heir,
        }
    }
}

/// Plays every step for either process.
pub fn run(common: &Common, wanted: &Wanted) -> Result<(), Failure> {
    std::env::set_var(AS_PROGRAM, "1");
    let program = std::env::current_exe()?;
    let (mut rows, mut broken) = (Vec::new(), Vec::new());
    let (mut longest, mut unanswered, mut lost) = (Duration::ZERO, 0, 0);
    let struck = |who: &Who| wanted.only.is_none_or(|only| only.is(*who));
    for after in wanted.steps.iter().flat_map(|ms| std::iter::repeat_n(*ms, wanted.rounds)) {
        for who in [Who::Elder, Who::Heir].into_iter().filter(struck) {
            let stop = Stop { who, after: Duration::from_millis(after), lasts: LASTS };
            let seen = play(&program, stop, wanted.output.as_deref());
            let (held, limit) = seen.descriptors;
            rows.push(vec![
                format!("{after} ms"),
                format!("{who:?}"),
                format!("{} of {}", seen.heard.unanswered, seen.heard.came),
                format!("{:.2}", seen.heard.longest.as_secs_f64()),
                seen.ready.map_or("-".to_owned(), |r| format!("{:.2}", r.as_secs_f64())),
                seen.lost.to_string(),
                seen.twice.to_string(),
                format!("{held} of {limit}"),
            ]);
            println!("{}", rows.last().map_or(String::new(), |row| row.join("  ")));
            longest = longest.max(seen.heard.longest);
            unanswered += seen.heard.unanswered;
            lost += seen.lost;
            broken.extend(seen.broken().into_iter().map(|b| format!("{who:?} at {after} ms: {b}")));
        }
    }
    table(
        &["stopped at", "who", "unanswered", "longest s", "ready s", "lost", "twice", "descriptors"],
        &rows,
    );
    broken.iter().for_each(|b| println!("BROKEN {b}"));
    let mut outcome = Outcome::default();
    outcome.put("longest_s", longest.as_secs_f64());
    outcome.put("unanswered", unanswered as f64);
    outcome.put("lost", lost as f64);
    outcome.put("broken", broken.len() as f64);
    outcome.close("silence", common)?;
    broken.into_iter().next().map_or(Ok(()), |first| Err(Failure(first)))
}
