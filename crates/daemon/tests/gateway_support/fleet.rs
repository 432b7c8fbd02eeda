//! Several gateways whose mock control instance applies changes to one document.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use pomelovale_coordination::control::{ControlCall, ControlHandle};
use pomelovale_coordination::measurements::Measurements;
use pomelovale_coordination::view::View;
use pomelovale_coordination::{outages, server_limits};
use pomelovale_protocol::messages::Admitted;
use pomelovale_protocol::report::Report;
use pomelovale_state::command::{Change, Command};
use pomelovale_state::document::Document;
use pomelovale_state::machine::StateMachine;
use pomelovale_state::{Clock, ErrorKind, Millis, Name};
use pomelovaled::gateway::config::GatewayConfig;
use pomelovaled::gateway::{Gateway, GatewayHandle};

use crate::entry_support::way::{rewrite, Addresses};

/// Time for a change to reach the gateways' views.
const DISTRIBUTION: Duration = Duration::from_millis(20);

/// Interval at which the views are proven current, and reports are evaluated.
const STEP: Duration = Duration::from_millis(100);

#[derive(Default)]
struct Replicated {
    machine: Mutex<StateMachine>,
    // The view of each gateway, and the addresses at which it finds servers, by their own.
    views: Mutex<Vec<(Arc<View>, Addresses)>>,
    measurements: Mutex<Measurements>,
    // Gateways that can't reach the control instances, by number.
    cut: Mutex<Vec<usize>>,
    proposed: Mutex<Vec<Command>>,
    unreachable: AtomicBool,
}

impl Replicated {
    // Takes servers and gateways out and back as the leader does.
    fn apply_reports(&self, now: Millis) {
        let measurements = self.measurements.lock().unwrap().clone();
        let mut machine = self.machine.lock().unwrap();
        let document = &machine.document;
        let mut commands = outages::changes(&measurements, document, now);
        let members = measurements.membership_changes(document, now);
        commands.extend(
            members
                .into_iter()
                .map(|(name, state)| Command::SetInstance { name, state }),
        );
        if commands.is_empty() {
            return;
        }
        let version = machine.document.version;
        machine.apply(&Change {
            request: format!("reports-{}-{version}", now.0).into(),
            sender: "leader".into(),
            base: None,
            at: now,
            command: Command::Batch(commands),
        });
        drop(machine);
        self.publish();
    }

    fn connected_views(&self) -> Vec<(Arc<View>, Addresses)> {
        let cut = self.cut.lock().unwrap();
        let views = self.views.lock().unwrap();
        let connected = views.iter().enumerate().filter(|(n, _)| !cut.contains(n));
        connected.map(|(_, known)| known.clone()).collect()
    }

    fn publish(&self) {
        let document = self.machine.lock().unwrap().document.clone();
        for (view, addresses) in self.connected_views() {
            view.publish(rewrite(document.clone(), &addresses));
        }
    }

    fn receive(&self, now: Millis, report: &Report) {
        let cut = |n: &usize| report.instance == gateway_name(*n);
        if !self.cut.lock().unwrap().iter().any(cut) {
            self.measurements.lock().unwrap().record(now, report);
            self.apply_reports(now);
        }
    }

    // Records the limits that gateways report, as the leader does.
    fn record_limits(&self, now: Millis) {
        let measurements = self.measurements.lock().unwrap().clone();
        let mut machine = self.machine.lock().unwrap();
        let Some(command) = server_limits::changes(&measurements, &machine.document, now) else {
            return;
        };
        let change = Change {
            request: format!("limits-{}", now.0).into(),
            sender: "leader".into(),
            base: None,
            at: now,
            command,
        };
        machine.apply(&change);
        drop(machine);
        self.publish();
    }
}

fn gateway_name(n: usize) -> Name {
    format!("g{n}").into()
}

/// Gateways that share a document.
pub struct Fleet {
    replicated: Arc<Replicated>,
    handle: ControlHandle,
    config: GatewayConfig,
    clock: Clock,
    pub gateways: Vec<GatewayHandle>,
}

impl Fleet {
    pub async fn start(count: usize, document: Document) -> Fleet {
        Fleet::start_with(GatewayConfig::default(), count, document).await
    }

    pub async fn start_with(config: GatewayConfig, count: usize, document: Document) -> Fleet {
        Fleet::start_behind(config, vec![Addresses::new(); count], document).await
    }

    /// Starts one gateway for each entry of `addresses`, which finds the servers there.
    pub async fn start_behind(
        config: GatewayConfig,
        addresses: Vec<Addresses>,
        document: Document,
    ) -> Fleet {
        let (handle, calls) = ControlHandle::new(1_024);
        let replicated = Arc::new(Replicated::default());
        replicated.machine.lock().unwrap().document = document;
        let control = replicated.clone();
        let start = Instant::now();
        let clock = Clock::monotonic();
        let (proving, proofs) = (replicated.clone(), clock.clone());
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(STEP).await;
                let views = proving.connected_views();
                views.iter().for_each(|(view, _)| view.prove(proofs.now()));
                proving.record_limits(proofs.now());
                proving.apply_reports(proofs.now());
            }
        });
        let reports = clock.clone();
        tokio::spawn(async move {
            while let Ok(call) = calls.recv_async().await {
                match call {
                    ControlCall::Admit(_, reply) => drop(reply.send(Ok(Admitted::Granted))),
                    ControlCall::Propose(_, reply)
                        if control.unreachable.load(Ordering::SeqCst) =>
                    {
                        drop(reply.send(Err(ErrorKind::NotLeader)));
                    }
                    ControlCall::Propose(mut change, reply) => {
                        change.at = Millis(start.elapsed().as_millis() as u64);
                        let command = change.command.clone();
                        control.proposed.lock().unwrap().push(command);
                        let applied = control.machine.lock().unwrap().apply(&change);
                        let _ = reply.send(Ok(applied));
                        let publishing = control.clone();
                        tokio::spawn(async move {
                            tokio::time::sleep(DISTRIBUTION).await;
                            publishing.publish();
                        });
                    }
                    ControlCall::Report(report) => control.receive(reports.now(), &report),
                    ControlCall::Demand(_) | ControlCall::Grant(..) | ControlCall::Tokens(..) => {}
                }
            }
        });
        let mut fleet = Fleet {
            replicated,
            handle,
            config,
            clock,
            gateways: Vec::new(),
        };
        for addresses in addresses {
            fleet.add_gateway_behind(addresses).await;
        }
        fleet
    }

    /// Starts one more gateway, which knows the document only.
    pub async fn add_gateway(&mut self) {
        self.add_gateway_behind(Addresses::new()).await;
    }

    async fn add_gateway_behind(&mut self, addresses: Addresses) {
        let view = Arc::new(View::default());
        let known = (view.clone(), addresses);
        self.replicated.views.lock().unwrap().push(known);
        self.replicated.publish();
        view.prove(self.clock.now());
        let config = GatewayConfig {
            instance: gateway_name(self.gateways.len()),
            region: "north".into(),
            domain: "north-a".into(),
            ..self.config.clone()
        };
        let gateway = Gateway::start(config, view, self.handle.clone(), self.clock.clone()).await;
        self.gateways.push(gateway.expect("the gateway starts"));
    }

    /// Whether the control instances accept changes.
    pub fn set_reachable(&self, reachable: bool) {
        self.replicated
            .unreachable
            .store(!reachable, Ordering::SeqCst);
    }

    /// Cuts a gateway off from the control instances.
    pub fn cut_off(&self, n: usize) {
        self.replicated.cut.lock().unwrap().push(n);
    }

    /// Changes the document and distributes it.
    pub fn edit(&self, f: impl FnOnce(&mut Document)) {
        let mut machine = self.replicated.machine.lock().unwrap();
        f(&mut machine.document);
        machine.document.version += 1;
        drop(machine);
        self.replicated.publish();
    }

    pub fn proposed(&self, matches: impl Fn(&Command) -> bool) -> usize {
        let proposed = self.replicated.proposed.lock().unwrap();
        proposed.iter().filter(|c| matches(c)).count()
    }

    pub fn document(&self) -> Document {
        self.replicated.machine.lock().unwrap().document.clone()
    }
}
