//! How each fault meets the hosts, links, store and servers of a soak.

use std::io;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::time::sleep;
use wasabicrank_testutils::process::Signal;
use wasabicrank_testutils::relay::Link;
use wasabicrank_testutils::relay::Relay;
use wasabicrank_testutils::server::lock;

use crate::evidence::Scope;
use crate::fleet::Disturbance;
use crate::fleet::GRACE;
use crate::schedule::Fault;
use crate::schedule::LinkFault;
use crate::server::Manner;
use crate::world::CUSTOMERS;
use crate::world::World;

/// How long a server that leaves goes on serving after its entry said so.
const LEAVING: Duration = Duration::from_millis(6_000);
/// How long the entry of a silent server stays.
const ENTRY_LIFE: Duration = Duration::from_millis(3_600);
/// The pause of a planned restart, and the longest after a kill.
const RESTART_PAUSE: Duration = Duration::from_millis(100);
const DOWN_MAX_MS: u64 = 2_500;
/// The changes of a storm, and the pause between them.
const STORM: usize = 8;
const STORM_PAUSE: Duration = Duration::from_millis(120);

impl World {
    /// Lets one fault happen, and waits until it is over.
    pub(crate) async fn suffer(&self, fault: Fault, seed: u64) -> io::Result<()> {
        let evidence = &self.evidence;
        match fault {
            Fault::Kill { host } => {
                let down = Duration::from_millis(seed % DOWN_MAX_MS);
                self.kill(host, down).await
            }
            Fault::Pause { host, span } => {
                let Some(_taken) = self.hosts[host].take() else { return Ok(()) };
                let _disturbance = Disturbance::begin(evidence, Scope::Host(host));
                self.hosts[host].signal(Signal::Stop)?;
                sleep(span).await;
                self.hosts[host].signal(Signal::Continue)
            }
            Fault::Stop { host } => self.stop(host).await,
            Fault::Reload { host } => {
                let Some(_taken) = self.hosts[host].take() else { return Ok(()) };
                self.hosts[host].reload()
            }
            Fault::CallerLink { host, link, span } => {
                let _disturbance = Disturbance::begin(evidence, Scope::Host(host));
                hurt(&self.hosts[host].front, link, span).await
            }
            Fault::StoreLink { host, link, span } => {
                let _disturbance = Disturbance::begin(evidence, Scope::StoreOf(host));
                hurt(&self.hosts[host].store, link, span).await
            }
            Fault::StoreAway { link, span } => {
                let _disturbance = Disturbance::begin(evidence, Scope::Store);
                let links = self.hosts.iter().map(|host| hurt(&host.store, link, span));
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
            Fault::ServerLink { server, link, span } => {
                let _disturbance = Disturbance::begin(evidence, Scope::Server(server));
                hurt(&self.server(server).relay, link, span).await
            }
            Fault::ServerManner { server, manner, span } => {
                let _disturbance = Disturbance::begin(evidence, Scope::Server(server));
                let hurt = self.server(server);
                hurt.set_manner(manner);
                sleep(span).await;
                hurt.set_manner(Manner::Good);
                Ok(())
            }
            Fault::ServerCrash { server, span } => self.crash(server, span).await,
            Fault::ServerLeaves { server, in_silence } => self.leave(server, in_silence).await,
            Fault::AddRoute => {
                self.add_route();
                Ok(())
            }
            Fault::Storm => {
                for _ in 0..STORM {
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

    async fn kill(&self, host: usize, down: Duration) -> io::Result<()> {
        let killed = &self.hosts[host];
        let Some(_taken) = killed.take() else { return Ok(()) };
        let _disturbance = Disturbance::begin(&self.evidence, Scope::Host(host));
        killed.signal(Signal::Kill)?;
        killed.wait_ended(GRACE).await;
        sleep(down).await;
        killed.start_process()?;
        killed.wait_ready().await;
        Ok(())
    }

    async fn stop(&self, host: usize) -> io::Result<()> {
        let stopped = &self.hosts[host];
        let Some(_taken) = stopped.take() else { return Ok(()) };
        let told = self.evidence.now();
        let start = stopped.target().start;
        stopped.signal(Signal::Term)?;
        let ended = stopped.wait_ended(GRACE).await;
        match ended {
            Some(status) if status.success() => {}
            Some(status) => {
                self.evidence.break_promise(format!("host {host} ended a stop with {status}"));
            }
            None => {
                self.evidence.break_promise(format!("host {host} did not stop in {GRACE:?}"));
                stopped.signal(Signal::Kill)?;
                stopped.wait_ended(GRACE).await;
            }
        }
        let now = self.evidence.now();
        self.evidence.seen().stops.push((host, start, told, ended.map(|_| now)));
        let _disturbance = Disturbance::begin(&self.evidence, Scope::Host(host));
        sleep(RESTART_PAUSE).await;
        stopped.start_process()?;
        stopped.wait_ready().await;
        Ok(())
    }

    async fn crash(&self, position: usize, span: Duration) -> io::Result<()> {
        let _disturbance = Disturbance::begin(&self.evidence, Scope::Server(position));
        let server = self.server(position);
        server.relay.refuse();
        server.forget();
        sleep(span.min(ENTRY_LIFE)).await;
        if span > ENTRY_LIFE {
            self.unlist(&server);
            sleep(span - ENTRY_LIFE).await;
        }
        // A server that was told to leave meanwhile does not come back.
        if self.evidence.seen().left.contains_key(&server.state.id) {
            return Ok(());
        }
        if span > ENTRY_LIFE {
            self.list(&server, false);
        }
        server.relay.listen().await
    }

    async fn leave(&self, position: usize, in_silence: bool) -> io::Result<()> {
        let _disturbance = Disturbance::begin(&self.evidence, Scope::Server(position));
        let successor = self.start_server(position).await?;
        let server = {
            let mut servers = lock(&self.servers);
            std::mem::replace(&mut servers[position], successor.clone())
        };
        self.list(&successor, false);
        match in_silence {
            true => self.unlist(&server),
            false => self.list(&server, true),
        }
        let now = self.evidence.now();
        self.evidence.seen().left.insert(server.state.id.clone(), now);
        sleep(LEAVING).await;
        self.unlist(&server);
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
        self.evidence.seen().added.insert(format!("/extra-{number}/probe"), now);
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
        self.evidence.seen().revoked.insert(key, now);
    }

    /// Ends what is left of faults, and starts the hosts that ended by themselves.
    pub(crate) async fn heal(&self) -> io::Result<()> {
        self.store.set_busy(false);
        for (index, host) in self.hosts.iter().enumerate() {
            if let Some(status) = host.ended() {
                self.evidence.break_promise(format!("host {index} ended by itself with {status}"));
                host.start_process()?;
            }
        }
        Ok(())
    }
}

/// Disturbs a link for a while.
async fn hurt(relay: &Relay, fault: LinkFault, span: Duration) -> io::Result<()> {
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
