//! Commands `diff`, `withdraw` and `rollout`, which compare or change individual published objects.

use std::sync::Arc;

use config::record::Change;
use model::object::{Key, Kind, Model, Rollout, Version, rollout, version};
use model::{Name, Object};
use serde::Serialize;

use crate::args::{self, Args, Diff, RolloutAction, RolloutStart, Withdraw};
use crate::config_log::ConfigLog;
use crate::failure::Failure;
use crate::input;
use crate::output::{self, Format};
use crate::publish;

/// How an object of a file differs from the published one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
enum Difference {
    New,
    Changed,
    Same,
}

#[derive(Debug, Serialize)]
struct Line {
    object: String,
    difference: Difference,
}

/// The command `diff`.
pub fn diff(cmd: &Diff, args: &Args, format: Format) -> Result<(), Failure> {
    let items = input::read(&cmd.files)?;
    let log = ConfigLog::open(args)?;
    let lines: Vec<_> = items.iter().map(|it| line(&log, &it.object)).collect();
    output::print(&lines, format, |lines| {
        lines
            .iter()
            .map(|it| format!("{:?} {}", it.difference, it.object).to_lowercase())
            .collect()
    });
    Ok(())
}

/// The command `withdraw`.
pub fn withdraw(cmd: &Withdraw, args: &Args, format: Format) -> Result<(), Failure> {
    let mut log = ConfigLog::open(args)?;
    let version = get_version(&log, &cmd.version)?;
    let withdrawn = Version {
        state: version::State::Withdrawn,
        ..version.clone()
    };
    let mut changes = vec![Change::Put(Object::Version(withdrawn))];
    if let Some(default) = &cmd.default {
        let model = get_model(&log, &version.model)?;
        let model = Model {
            default_version: default.as_str().into(),
            ..model
        };
        changes.push(Change::Put(Object::Model(model)));
    }
    changes.extend(halted_rollouts(&log, &version.name));
    publish::changes(&mut log, args, changes, format)
}

/// The command `rollout`.
pub fn rollout(cmd: &args::Rollout, args: &Args, format: Format) -> Result<(), Failure> {
    let mut log = ConfigLog::open(args)?;
    let rollout = match &cmd.action {
        RolloutAction::Start(it) => new_rollout(&log, it)?,
        RolloutAction::Halt(it) => rollout_with_state(&log, &it.name, rollout::State::Halted)?,
        RolloutAction::Resume(it) => rollout_with_state(&log, &it.name, rollout::State::Running)?,
    };
    publish::changes(
        &mut log,
        args,
        vec![Change::Put(Object::Rollout(rollout))],
        format,
    )
}

fn line(log: &ConfigLog, object: &Object) -> Line {
    let key = object.key();
    let difference = match log.state().objects().get(&key) {
        None => Difference::New,
        Some(entry) if *entry.object == *object => Difference::Same,
        Some(_) => Difference::Changed,
    };
    Line {
        object: key.to_string(),
        difference,
    }
}

/// Halts the running roll-outs to a version, because a roll-out to a withdrawn version is invalid.
fn halted_rollouts(log: &ConfigLog, version: &Name) -> Vec<Change> {
    let objects = log.state().objects().values();
    let rollouts = objects.filter_map(|it| match &*it.object {
        Object::Rollout(it) if it.to == *version && it.state == rollout::State::Running => Some(it),
        _ => None,
    });
    let halted = rollouts.map(|it| Rollout {
        state: rollout::State::Halted,
        ..it.clone()
    });
    halted.map(|it| Change::Put(Object::Rollout(it))).collect()
}

fn new_rollout(log: &ConfigLog, cmd: &RolloutStart) -> Result<Rollout, Failure> {
    let model = get_model(log, &cmd.model)?;
    Ok(Rollout {
        name: cmd.name.as_str().into(),
        model: model.name,
        from: model.default_version,
        to: cmd.to.as_str().into(),
        stages: parse_stages(&cmd.stages)?,
        stage: 0,
        state: rollout::State::Running,
        exposure_budget: cmd.budget,
    })
}

fn parse_stages(text: &str) -> Result<Vec<u16>, Failure> {
    let stages = text.split(',').map(|it| it.trim().parse());
    stages
        .collect::<Result<_, _>>()
        .map_err(|_| Failure::Stages(text.to_owned()))
}

fn rollout_with_state(log: &ConfigLog, name: &str, state: rollout::State) -> Result<Rollout, Failure> {
    let key = Key::new(Kind::Rollout, name);
    match &*get(log, &key)? {
        Object::Rollout(it) => Ok(Rollout { state, ..it.clone() }),
        _ => Err(Failure::NotFound(key)),
    }
}

fn get_version(log: &ConfigLog, name: &str) -> Result<Version, Failure> {
    let key = Key::new(Kind::Version, name);
    match &*get(log, &key)? {
        Object::Version(it) => Ok(it.clone()),
        _ => Err(Failure::NotFound(key)),
    }
}

fn get_model(log: &ConfigLog, name: &str) -> Result<Model, Failure> {
    let key = Key::new(Kind::Model, name);
    match &*get(log, &key)? {
        Object::Model(it) => Ok(it.clone()),
        _ => Err(Failure::NotFound(key)),
    }
}

fn get(log: &ConfigLog, key: &Key) -> Result<Arc<Object>, Failure> {
    let entry = log.state().objects().get(key);
    entry
        .map(|it| Arc::clone(&it.object))
        .ok_or_else(|| Failure::NotFound(key.clone()))
}
