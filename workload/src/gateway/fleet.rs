//! The hosts and engines of a replay.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use wasabicrank_lib::coordination::Gateway;
use wasabicrank_lib::coordination::GatewayBounds;
use wasabicrank_lib::coordination::ServerChange;
use wasabicrank_lib::state::Backend;
use wasabicrank_lib::state::CallerLimits;
use wasabicrank_lib::state::Catalog;
use wasabicrank_lib::state::CatalogParts;
use wasabicrank_lib::state::Customer;
use wasabicrank_lib::state::CustomerName;
use wasabicrank_lib::state::MemoryBounds;
use wasabicrank_lib::state::Moment;
use wasabicrank_lib::state::RetryBounds;
use wasabicrank_lib::state::Route;
use wasabicrank_lib::state::RouteKind;
use wasabicrank_lib::state::Server;
use wasabicrank_lib::state::ServerId;
use wasabicrank_lib::state::ServiceName;
use wasabicrank_lib::state::ServiceSpec;
use wasabicrank_lib::state::ZoneName;

use super::load::GatewayLoad;
use super::replay::HOST;
use super::replay::ReplaySetup;

/// The number of availability zones in a replay.
const ZONES: usize = 3;

pub(crate) fn address(host: usize) -> Ipv4Addr {
    Ipv4Addr::from(0x0a01_0001 + host as u32)
}

/// Returns the key of the customer at `position`.
pub(crate) fn key(position: usize) -> String {
    format!("key-{position}")
}

fn customer(position: usize) -> Customer {
    Customer { name: CustomerName::new(format!("customer-{position}")), priority: None }
}

/// Returns the position of the host at `address`.
pub(crate) fn position(address: Ipv4Addr) -> usize {
    (u32::from(address) - 0x0a01_0001) as usize
}

/// Returns the zone of the host or engine at `position`; zones are assigned round-robin.
fn zone(position: usize) -> ZoneName {
    ZoneName::new(format!("zone-{}", position % ZONES))
}

pub(crate) fn server(position: usize) -> Server {
    Server {
        id: ServerId::new(format!("engine-{position:02}"), 1),
        service: ServiceName::new("engines"),
        address: ([10, 9, 0, position as u8 + 1], 8_000).into(),
        zone: zone(position),
        slots: 16,
        draining: false,
        cold_left: None,
    }
}

pub(crate) fn gateway(
    setup: &ReplaySetup,
    load: &GatewayLoad,
    host: usize,
    servers: &[Server],
) -> Gateway {
    let bounds = GatewayBounds {
        zone: zone(host),
        revoke: Duration::from_secs(100_000),
        config: Duration::from_secs(2),
        drain: Duration::from_secs(2),
        memory: MemoryBounds { unused: Duration::from_secs(9), release: Duration::from_secs(4) },
        budget: RetryBounds { ratio: 0.2, slack: 104.0, window: Duration::from_secs(10) },
        evacuate: None,
        hedge_ratio: setup.hedge_ratio,
        fair_customers: !load.customers.is_empty(),
        engine_model: setup.engine_model,
    };
    let mut gateway = Gateway::new(bounds, load.seed.wrapping_mul(1_000) + host as u64 + 1);
    gateway.set_seeds(address(host), (0..setup.hosts).map(address).collect());
    let routes = load.kinds.iter().enumerate().map(|(position, kind)| Route {
        name: Arc::from(kind.name),
        host: HOST.to_owned(),
        prefix: format!("/{position}/"),
        kind: RouteKind::Stream { resumable: true },
        timeout: kind.patience,
        objective: kind.objective,
        gap: Some(kind.gap),
        priority: kind.priority,
        backends: vec![Backend { service: ServiceName::new("engines"), weight: 1 }],
        attempts: 2,
        public: load.customers.is_empty(),
    });
    let parts = CatalogParts {
        version: 1,
        routes: routes.collect(),
        services: vec![ServiceSpec {
            name: ServiceName::new("engines"),
            engine: Some(setup.profile),
            cold: None,
        }],
        limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 4_194_304,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
        keys: (!load.customers.is_empty()).then(|| {
            let customers = 0..load.customers.len();
            customers.map(|at| (key(at), customer(at))).collect()
        }),
    };
    gateway.install_catalog(Catalog::new(parts), Moment(0));
    for server in servers {
        gateway.apply_server(ServerChange::Listed(server.clone()));
    }
    gateway
}
