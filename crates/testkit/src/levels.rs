//! Planners around a forwarder: certificates of an own authority, the real program in its planner's role.

use crate::discovery::{Discovery, Entry};
use crate::port::Port;
use crate::program::{write_config, Wishes};
use crate::{fresh, until};
use rcgen::{BasicConstraints, Certificate, CertificateParams, IsCa, KeyPair};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::Ordering;

/// The state of the planners.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Levels {
    /// Two planners that see the same.
    Up,
    /// Two planners that were killed after the forwarder had their plan.
    Dead,
    /// One planner sees all, the other stays with the list that it began with.
    Disagreeing,
}

/// An authority of its own, with the certificates that it has issued, in files.
pub struct Authority {
    dir: PathBuf,
    key: KeyPair,
    certificate: Certificate,
}

impl std::fmt::Debug for Authority {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Authority({:?})", self.dir)
    }
}

impl Default for Authority {
    fn default() -> Self {
        let dir = std::env::temp_dir().join(format!("laurelroute-ca-{}-{}", std::process::id(), fresh()));
        std::fs::create_dir_all(&dir).expect("a directory");
        let key = KeyPair::generate().expect("a key");
        let mut params = CertificateParams::new(vec![]).expect("parameters");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let certificate = params.self_signed(&key).expect("a certificate");
        std::fs::write(dir.join("ca.pem"), certificate.pem()).expect("a file");
        Authority { dir, key, certificate }
    }
}

impl Authority {
    /// Issues a certificate, and gives `[peers]` for a peer of this name at this site.
    pub fn peers(&self, site: &str, name: &str) -> String {
        let [authority, certificate, key] = self.files(name);
        format!(
            "[peers]\nsite = \"{site}\"\nname = \"{name}\"\nauthority = {authority:?}\ncertificate = {certificate:?}\nkey = {key:?}\n"
        )
    }

    /// Issues a certificate to a peer of this name, and gives the files of the authority's certificate, the peer's own and its key.
    pub fn files(&self, name: &str) -> [PathBuf; 3] {
        let key = KeyPair::generate().expect("a key");
        let mut params = CertificateParams::new(vec!["planner.laurelroute".to_owned()]).expect("parameters");
        params.is_ca = IsCa::ExplicitNoCa;
        let certificate = params.signed_by(&key, &self.certificate, &self.key).expect("a certificate");
        let file = |ending: &str| self.dir.join(format!("{name}.{ending}"));
        std::fs::write(file("pem"), certificate.pem()).expect("a file");
        std::fs::write(file("key"), key.serialize_pem()).expect("a file");
        [self.dir.join("ca.pem"), file("pem"), file("key")]
    }
}

impl Drop for Authority {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// A planner's process. It is ended with the test.
#[derive(Debug)]
pub struct Planner {
    program: PathBuf,
    child: Option<Child>,
    /// Where forwarders connect.
    pub address: SocketAddr,
    files: [PathBuf; 2],
    wishes: Wishes,
    _port: Port,
}

impl Planner {
    /// A planner of two, not started yet. `extra` goes into its part of the operator's file.
    pub fn new(
        program: &Path,
        authority: &Authority,
        name: &str,
        discovery: SocketAddr,
        wishes: &Wishes,
        extra: &str,
    ) -> Planner {
        Planner::of(
            program,
            authority,
            name,
            discovery,
            wishes,
            &format!("planners = 2\nsettle_ms = 100\n{extra}"),
        )
    }

    /// A planner of which this stands in its part of the operator's file, not started yet.
    pub fn of(
        program: &Path,
        authority: &Authority,
        name: &str,
        discovery: SocketAddr,
        wishes: &Wishes,
        own: &str,
    ) -> Planner {
        let port = Port::keep();
        let address = port.address();
        let base = std::env::temp_dir().join(format!("laurelroute-plan-{}-{}", std::process::id(), fresh()));
        let files = [base.with_extension("json"), base.with_extension("toml")];
        write_config(&files[0], address, discovery, wishes);
        let peers = authority.peers("suite", name);
        let own = format!("[plan]\nlisten = \"{address}\"\n{own}");
        std::fs::write(&files[1], format!("{peers}{own}")).expect("the site's file can be written");
        Planner {
            program: program.to_owned(),
            child: None,
            address,
            files,
            wishes: wishes.clone(),
            _port: port,
        }
    }

    /// Starts it, after a kill again with nothing.
    pub fn start(&mut self) {
        let mut command = Command::new(&self.program);
        command.arg("plan").arg("--site").arg(&self.files[1]).env("GW_CONFIG", &self.files[0]);
        command.stdout(Stdio::null()).stderr(Stdio::null());
        self.child = Some(command.spawn().expect("the program starts"));
    }

    /// Ends it with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Another discovery counts from now on.
    pub fn configure(&self, discovery: SocketAddr) {
        write_config(&self.files[0], self.address, discovery, &self.wishes);
        if let Some(child) = &self.child {
            let kill = Command::new("kill").args(["-HUP", &child.id().to_string()]).status();
            assert!(kill.expect("kill runs").success());
        }
    }

    /// What `laurelroute explain` prints, or its error.
    pub fn explain(&self, arguments: &[&str]) -> Result<String, String> {
        let mut command = Command::new(&self.program);
        command.arg("explain").arg("--plan").arg(self.address.to_string()).arg("--site").arg(&self.files[1]);
        let output = command.args(arguments).output().expect("the program runs");
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        if output.status.success() {
            Ok(text(&output.stdout))
        } else {
            Err(text(&output.stderr))
        }
    }

    /// Its configuration's file.
    pub fn config(&self) -> &Path {
        &self.files[0]
    }

    /// The process's number.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }
}

impl Drop for Planner {
    fn drop(&mut self) {
        self.kill();
        self.files.iter().for_each(|file| drop(std::fs::remove_file(file)));
    }
}

/// Two planners and what they need.
#[derive(Debug)]
pub struct Upper {
    /// In which state they are to be.
    levels: Levels,
    /// The planners.
    pub planners: Vec<Planner>,
    /// Who issues certificates.
    pub authority: Authority,
    /// The list of the planner that stays behind.
    pub stale: Option<Discovery>,
}

impl Upper {
    /// Starts two planners, and waits until they plan.
    pub fn start(
        program: &Path,
        levels: Levels,
        discovery: &Discovery,
        entries: &[Entry],
        wishes: &Wishes,
    ) -> Upper {
        let authority = Authority::default();
        let stale = (levels == Levels::Disagreeing).then(|| Discovery::start(entries));
        let second = stale.as_ref().unwrap_or(discovery).address;
        let planners = [discovery.address, second].into_iter().enumerate();
        let mut planners: Vec<Planner> = planners
            .map(|(k, list)| Planner::new(program, &authority, &format!("p{k}"), list, wishes, ""))
            .collect();
        planners.iter_mut().for_each(Planner::start);
        let upper = Upper { levels, planners, authority, stale };
        upper.until_planning();
        upper
    }

    /// Ends all planners with SIGKILL.
    pub fn kill(&mut self) {
        self.planners.iter_mut().for_each(Planner::kill);
    }

    /// Starts all planners, with nothing but their files.
    pub fn start_again(&mut self) {
        self.planners.iter_mut().for_each(Planner::start);
    }

    /// Whether every planner says that so many forwarders hold its plan as it is now.
    pub fn all_hold(&self, forwarders: usize) -> bool {
        let words = format!("{forwarders} connected, {forwarders} hold the plan");
        self.planners.iter().all(|p| p.explain(&[]).is_ok_and(|text| text.contains(&words)))
    }

    /// Waits until all planners have made a plan.
    pub fn until_planning(&self) {
        for planner in &self.planners {
            until("a planner plans", || planner.explain(&[]).is_ok_and(|text| text.contains("settled")));
        }
    }

    /// What a forwarder's file says of itself and of the planners.
    pub fn site(&self, name: &str) -> String {
        let addresses: Vec<String> =
            self.planners.iter().map(|p| format!("{:?}", p.address.to_string())).collect();
        format!("{}[forward]\nplanners = [{}]\n", self.authority.peers("suite", name), addresses.join(", "))
    }

    /// Waits until the forwarder goes by a plan, and brings the planners into their state.
    pub(crate) fn settle(&mut self, discovery: &Discovery) {
        until("the forwarder follows a planner", || {
            let follows =
                |p: &Planner| p.explain(&["--class", "read"]).is_ok_and(|t| t.contains("follows 127"));
            self.planners.iter().any(follows)
        });
        if self.levels == Levels::Dead {
            let watches = discovery.watches.load(Ordering::SeqCst);
            self.planners.iter_mut().for_each(Planner::kill);
            until("the forwarder reads the list", || discovery.watches.load(Ordering::SeqCst) > watches);
        }
    }
}
