//! Initial configuration of the cluster.

use config::record::{Change, Proposal, ProposalId, Record};
use config::view::hash_key;
use model::Object;
use model::object::{Cascade, Model, Organisation, Pool, Service, Version, cascade, pool, service, version};

/// Bearer key of the organisation `demo`.
pub const KEY: &str = "demo-key";

/// Bearer key of the organisation `other`, which may only use the model `small`.
pub const OTHER_KEY: &str = "other-key";

/// Name of the pool of engines.
pub const ENGINE_POOL: &str = "engines";

/// Name of the pool of instances of the service `stock`.
pub const SERVICE_POOL: &str = "stock-hosts";

/// Versions that are loaded on every engine.
pub const VERSIONS: [&str; 3] = ["small-1", "small-2", "large-1"];

/// All objects of the initial configuration.
pub fn objects() -> Vec<Object> {
    let mut objects = vec![
        pool(ENGINE_POOL, pool::Role::Engine),
        pool(SERVICE_POOL, pool::Role::Service),
        model("small", "small-1"),
        model("large", "large-1"),
        version("small-1", "small", 100),
        version("small-2", "small", 110),
        version("large-1", "large", 1_000),
    ];
    objects.push(Object::Cascade(Cascade {
        name: "any".into(),
        steps: vec![
            cascade::Target::Model("small".into()),
            cascade::Target::Model("large".into()),
        ],
    }));
    objects.push(Object::Service(Service {
        name: "stock".into(),
        pool: SERVICE_POOL.into(),
        calls: vec![
            call(
                "GET",
                standin::service::IDEMPOTENT_PATH,
                service::Repeat::Idempotent,
            ),
            call("POST", "/holds", service::Repeat::NonIdempotent),
        ],
    }));
    objects.push(organisation(
        "demo",
        KEY,
        &["small", "large"],
        &["any"],
        &["stock"],
    ));
    objects.push(organisation("other", OTHER_KEY, &["small"], &[], &[]));
    objects
}

/// Payload of the log record that creates all objects in an empty configuration.
pub fn initial_payload() -> Vec<u8> {
    let changes = objects().into_iter().map(Change::Put).collect();
    Record::Proposal(Proposal {
        id: ProposalId::from_bits(1),
        author: "demo".to_owned(),
        base: std::collections::BTreeMap::new(),
        changes,
    })
    .to_bytes()
}

fn pool(name: &str, role: pool::Role) -> Object {
    Object::Pool(Pool {
        name: name.into(),
        role,
        fencing: pool::Fencing::Checked,
        concurrency: 8,
    })
}

fn model(name: &str, default_version: &str) -> Object {
    Object::Model(Model {
        name: name.into(),
        default_version: default_version.into(),
    })
}

fn version(name: &str, model: &str, price: model::Cost) -> Object {
    Object::Version(Version {
        name: name.into(),
        model: model.into(),
        pool: ENGINE_POOL.into(),
        state: version::State::Live,
        input_price: price,
        output_price: 4 * price,
    })
}

fn call(method: &str, path: &str, repeat: service::Repeat) -> service::Call {
    service::Call {
        method: method.to_owned(),
        path: path.to_owned(),
        repeat,
    }
}

fn organisation(name: &str, key: &str, models: &[&str], cascades: &[&str], services: &[&str]) -> Object {
    let names = |list: &[&str]| list.iter().map(|it| (*it).into()).collect();
    Object::Organisation(Organisation {
        name: name.into(),
        key_hashes: vec![hash_key(key).iter().map(|it| format!("{it:02x}")).collect()],
        models: names(models),
        versions: Vec::new(),
        cascades: names(cascades),
        services: names(services),
        weight: 1,
        quality_permille: 900,
    })
}
