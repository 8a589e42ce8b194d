//! Injects each fault into the hosts, links, store and servers of a soak.

use std::collections::HashMap;
use std::io;
use std::time::Duration;

use futures_util::future::join_all;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::sleep;
use wasabicrank_testutils::process::Signal;
use wasabicrank_testutils::relay::Link;
use wasabicrank_testutils::relay::Relay;
use wasabicrank_testutils::server::lock;

use crate::behavior::Behavior;
use crate::evidence::Millis;
use crate::evidence::Scope;
use crate::fleet::Disturbance;
use crate::fleet::STOP_GRACE;
use crate::schedule::Departure;
use crate::schedule::Fault;
use crate::schedule::LinkFault;
use crate::server::Server;
use crate::store::Write;
use crate::world::CUSTOMERS;
use crate::world::World;

/// How long a departing server keeps serving after its entry was changed or removed.
const DEPARTURE_TIME: Duration = Duration::from_millis(6_000);
/// How long the entry of an unresponsive server stays in the store.
const ENTRY_TTL: Duration = Duration::from_millis(3_600);
/// The downtime of a planned restart, and the upper bound of the downtime after a kill.
const RESTART_PAUSE: Duration = Duration::from_millis(100);
const MAX_DOWN_MS: u64 = 2_500;
/// How long a link that was disturbed may still deliver what it held up.
const LINK_RECOVERY_MS: Millis = 500;
/// The time between a departure and the rewind that loses it, by when all hosts know of it; and how
/// much older than the departure the copy is.
const DEPARTURE_KNOWN: Duration = Duration::from_millis(2_800);
const COPY_LEAD: Duration = Duration::from_millis(500);
/// The time after a rewind within which what is lost is written again.
const MAX_REWRITE_MS: u64 = 1_200;
/// The number of configuration changes in a storm, and the pause after each.
const STORM_CHANGES: usize = 8;
const STORM_PAUSE: Duration = Duration::from_millis(120);

impl World {
    /// Injects one fault and waits until it has ended.
    pub(crate) async fn inject(&self, fault: Fault, seed: u64) -> io::Result<()> {
        let evidence = &self.evidence;
        match fault {
            Fault::Kill { host } => {
                let down = Duration::from_millis(seed % MAX_DOWN_MS);
                self.kill(host, down).await
            }
            Fault::Pause { host, span } => {
                let Some(_claim) = self.hosts[host].claim() else { return Ok(()) };
                let _disturbance = Disturbance::begin(evidence, Scope::Host(host));
                self.hosts[host].signal(Signal::Stop)?;
                sleep(span).await;
                self.hosts[host].signal(Signal::Continue)
            }
            Fault::Stop { host } => self.stop(host).await,
            Fault::Reload { host } => {
                let Some(_claim) = self.hosts[host].claim() else { return Ok(()) };
                self.hosts[host].reload()
            }
            Fault::CallerLink { host, link, span } => {
                let _disturbance = Disturbance::begin(evidence, Scope::Host(host));
                disturb_link(&self.hosts[host].caller_relay, link, span).await
            }
            Fault::StoreLink { host, link, span } => {
                let _disturbance = Disturbance::begin(evidence, Scope::StoreOf(host));
                disturb_link(&self.hosts[host].store_relay, link, span).await
            }
            Fault::StoreAway { link, span } => {
                let _disturbance = Disturbance::begin(evidence, Scope::Store);
                let links =
                    self.hosts.iter().map(|host| disturb_link(&host.store_relay, link, span));
                join_all(links).await.into_iter().collect()
            }
            Fault::StoreBusy { span } => {
                let _disturbance = Disturbance::begin(evidence, Scope::Store);
                self.store.set_busy(true);
                sleep(span).await;
                self.store.set_busy(false);
                Ok(())
            }
            Fault::Compact => {
                self.store.compact();
                Ok(())
            }
            Fault::Rewind { away, age } => {
                self.rewind_store(away, age, seed).await;
                Ok(())
            }
            Fault::RewindDeparture { server, departure, away } => {
                let rewind = async {
                    sleep(DEPARTURE_KNOWN).await;
                    self.rewind_store(away, DEPARTURE_KNOWN + away + COPY_LEAD, seed).await;
                };
                let (left, ()) = tokio::join!(self.replace_server(server, departure), rewind);
                left
            }
            Fault::ServerLink { server, link, span } => {
                let _disturbance = Disturbance::begin(evidence, Scope::Server(server));
                let target = self.server(server);
                self.record_link_fault(&target, span);
                disturb_link(&target.relay, link, span).await
            }
            Fault::ServerManner { server, manner, span } => {
                let _disturbance = Disturbance::begin(evidence, Scope::Server(server));
                let target = self.server(server);
                target.set_behavior(manner);
                sleep(span).await;
                target.set_behavior(Behavior::Good);
                Ok(())
            }
            Fault::ServerCrash { server, span } => self.crash_server(server, span).await,
            Fault::ServerLimits { server, rates, span } => {
                self.name_limits(server, rates, span).await
            }
            Fault::Evacuate { zone, span, gap } => {
                self.evacuate(zone, span, gap).await;
                Ok(())
            }
            Fault::ServerLeaves { server, departure } => {
                self.replace_server(server, departure).await
            }
            Fault::AddRoute => {
                self.add_route();
                Ok(())
            }
            Fault::Storm => {
                for _ in 0..STORM_CHANGES {
                    self.add_route();
                    sleep(STORM_PAUSE).await;
                }
                Ok(())
            }
            Fault::Revoke => {
                self.revoke();
                Ok(())
            }
        }
    }

    /// Restores the store from an older copy; the operator and the servers then write again what is
    /// lost, and entries that had been removed expire.
    async fn rewind_store(&self, away: Duration, age: Duration, seed: u64) {
        let _disturbance = Disturbance::begin(&self.evidence, Scope::Store);
        self.store.set_busy(true);
        sleep(away).await;
        let lost = self.store.rewind(age);
        let copied = self.store.revision();
        let now = self.evidence.now();
        self.evidence.observations().rewinds.push(now);
        self.store.set_busy(false);
        let mut random = SmallRng::seed_from_u64(seed);
        let last: HashMap<String, Write> =
            lost.into_iter().map(|write| (write.key.clone(), write)).collect();
        let writes = last.into_values().map(|write| {
            let pause = match write.value {
                Some(_) => Duration::from_millis(random.random_range(0..MAX_REWRITE_MS)),
                // What was removed writes nothing; its entry in the copy expires.
                None => ENTRY_TTL,
            };
            async move {
                sleep(pause).await;
                self.store.restore(&write, copied);
            }
        });
        join_all(writes.collect::<Vec<_>>()).await;
    }

    async fn kill(&self, host: usize, down: Duration) -> io::Result<()> {
        let killed = &self.hosts[host];
        let Some(_claim) = killed.claim() else { return Ok(()) };
        let _disturbance = Disturbance::begin(&self.evidence, Scope::Host(host));
        killed.signal(Signal::Kill)?;
        killed.wait_exit(STOP_GRACE).await;
        sleep(down).await;
        killed.start_process()?;
        killed.wait_ready().await;
        Ok(())
    }

    async fn stop(&self, host: usize) -> io::Result<()> {
        let stopped = &self.hosts[host];
        let Some(_claim) = stopped.claim() else { return Ok(()) };
        let told = self.evidence.now();
        let start = stopped.target().start;
        stopped.signal(Signal::Term)?;
        let ended = stopped.wait_exit(STOP_GRACE).await;
        match ended {
            Some(status) if status.success() => {}
            Some(status) => {
                self.evidence.record_violation(format!(
                    "host {host} exited with {status} after a planned stop"
                ));
            }
            None => {
                self.evidence
                    .record_violation(format!("host {host} did not stop within {STOP_GRACE:?}"));
                stopped.signal(Signal::Kill)?;
                stopped.wait_exit(STOP_GRACE).await;
            }
        }
        let now = self.evidence.now();
        self.evidence.observations().stops.push((host, start, told, ended.map(|_| now)));
        let _disturbance = Disturbance::begin(&self.evidence, Scope::Host(host));
        sleep(RESTART_PAUSE).await;
        stopped.start_process()?;
        stopped.wait_ready().await;
        Ok(())
    }

    pub(crate) async fn crash_server(&self, position: usize, span: Duration) -> io::Result<()> {
        let _disturbance = Disturbance::begin(&self.evidence, Scope::Server(position));
        let server = self.server(position);
        self.record_link_fault(&server, span);
        server.relay.refuse();
        server.drop_tickets();
        sleep(span.min(ENTRY_TTL)).await;
        if span > ENTRY_TTL {
            self.deregister(&server);
            sleep(span - ENTRY_TTL).await;
        }
        // A server that was removed in the meantime does not come back.
        if self.evidence.observations().left.contains_key(&server.state.id) {
            return Ok(());
        }
        if span > ENTRY_TTL {
            self.register(&server, false);
        }
        server.relay.listen().await
    }

    fn record_link_fault(&self, server: &Server, span: Duration) {
        let begin = self.evidence.now();
        let end = begin + span.as_millis() as Millis + LINK_RECOVERY_MS;
        let id = server.state.id.clone();
        self.evidence.observations().disturbed_links.push((id, begin, end));
    }

    async fn replace_server(&self, position: usize, departure: Departure) -> io::Result<()> {
        let _disturbance = Disturbance::begin(&self.evidence, Scope::Server(position));
        let successor = self.start_server(position).await?;
        let server = {
            let mut servers = lock(&self.servers);
            std::mem::replace(&mut servers[position], successor.clone())
        };
        self.register(&successor, false);
        match departure {
            Departure::Announced => self.register(&server, true),
            Departure::Silent => self.deregister(&server),
            Departure::InResponses(ready_span) => {
                server.announce_leaving();
                sleep(ready_span).await;
                self.register(&server, true);
            }
        }
        let now = self.evidence.now();
        self.evidence.observations().left.insert(server.state.id.clone(), now);
        sleep(DEPARTURE_TIME).await;
        self.deregister(&server);
        server.relay.refuse();
        Ok(())
    }

    fn add_route(&self) {
        let number = {
            let mut config = lock(&self.config);
            config.extra += 1;
            config.extra - 1
        };
        self.publish();
        let now = self.evidence.now();
        self.evidence.observations().added.insert(format!("/extra-{number}/probe"), now);
    }

    fn revoke(&self) {
        let key = {
            let mut config = lock(&self.config);
            if config.keys.len() <= CUSTOMERS {
                return;
            }
            let (key, _) = config.keys.remove(0);
            config.revoked.push(key.clone());
            key
        };
        self.publish();
        let now = self.evidence.now();
        self.evidence.observations().revoked.insert(key, now);
    }

    /// Clears the remaining store fault and restarts hosts that exited unexpectedly.
    pub(crate) async fn clear_faults(&self) -> io::Result<()> {
        self.store.set_busy(false);
        for (index, host) in self.hosts.iter().enumerate() {
            if let Some(status) = host.exit_status() {
                self.evidence
                    .record_violation(format!("host {index} exited unexpectedly with {status}"));
                host.start_process()?;
            }
        }
        Ok(())
    }
}

/// Applies a fault to a link for `span`; a reset happens once, at once.
async fn disturb_link(relay: &Relay, fault: LinkFault, span: Duration) -> io::Result<()> {
    let link = match fault {
        LinkFault::Cut => Link { forth_cut: true, back_cut: true, ..Link::default() },
        LinkFault::ForthCut => Link { forth_cut: true, ..Link::default() },
        LinkFault::BackCut => Link { back_cut: true, ..Link::default() },
        LinkFault::Delay(ms) => Link { delay: Duration::from_millis(ms), ..Link::default() },
        LinkFault::Reset => {
            relay.drop_connections();
            return Ok(());
        }
        LinkFault::Refuse => {
            relay.refuse();
            sleep(span).await;
            return relay.listen().await;
        }
    };
    relay.set_link(link);
    sleep(span).await;
    relay.heal();
    Ok(())
}
