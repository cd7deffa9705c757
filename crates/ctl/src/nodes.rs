//! Calls to nodes over HTTP, and the commands `status`, `state` and `drain`.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use attohttpc::RequestBuilder;
use serde_json::{Value, json};

use crate::args::{Drain, State, Status};
use crate::failure::Failure;
use crate::output::{self, Format};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The command `status`.
pub fn status(cmd: &Status, format: Format) -> Result<(), Failure> {
    for_each_node(&cmd.node, format, |node| {
        let request = attohttpc::get(url(node, "/admin/status"));
        let status = call(request, node, cmd.key_file.as_deref())?;
        output::print(&json!({"node": node, "status": status}), format, status_lines);
        Ok(())
    })
}

/// The command `state`.
pub fn state(cmd: &State, format: Format) -> Result<(), Failure> {
    for_each_node(&cmd.node, format, |node| {
        let state = call(attohttpc::get(url(node, "/state")), node, None)?;
        output::print(&json!({"node": node, "state": state}), format, state_lines);
        Ok(())
    })
}

/// Calls `run` for every node, even if it fails for some, and returns the first failure.
fn for_each_node(
    nodes: &[SocketAddr],
    format: Format,
    mut run: impl FnMut(SocketAddr) -> Result<(), Failure>,
) -> Result<(), Failure> {
    if nodes.is_empty() {
        return Err(Failure::NoNode);
    }
    let mut first_failure = None;
    for node in nodes {
        match run(*node) {
            Ok(()) => {}
            Err(failure) => {
                output::failure(&failure, format);
                first_failure.get_or_insert(failure);
            }
        }
    }
    first_failure.map_or(Ok(()), Err)
}

/// The command `drain`.
pub fn drain(cmd: &Drain, format: Format) -> Result<(), Failure> {
    let request = attohttpc::post(url(cmd.node, "/admin/drain"));
    let status = call(request, cmd.node, cmd.key_file.as_deref())?;
    output::print(&json!({"node": cmd.node, "status": status}), format, status_lines);
    Ok(())
}

/// URL of a path of a node.
pub fn url(node: SocketAddr, path: &str) -> String {
    format!("http://{node}{path}")
}

/// Calls a node; returns the JSON value, or the text, that it responds with.
///
/// # Errors
/// The node is unreachable or responds with an error status, or the file with the key cannot be read.
pub fn call(request: RequestBuilder, node: SocketAddr, key_file: Option<&Path>) -> Result<Value, Failure> {
    let unreachable = |_| Failure::Node(node.to_string());
    let mut request = request.connect_timeout(CONNECT_TIMEOUT).timeout(CALL_TIMEOUT);
    if let Some(file) = key_file {
        let key = fs::read_to_string(file).map_err(|err| Failure::File(file.to_path_buf(), err))?;
        request = request.bearer_auth(key.trim());
    }
    let response = request.send().map_err(unreachable)?;
    let (status, _, body) = response.split();
    let text = body.text().map_err(unreachable)?;
    if !status.is_success() {
        return Err(Failure::Status(node.to_string(), status.as_u16(), text));
    }
    Ok(serde_json::from_str(&text).unwrap_or(Value::String(text)))
}

/// One line for each field of a node's state; arrays, such as engines, members and releases, give one line
/// per item.
fn state_lines(value: &Value) -> Vec<String> {
    let node = value["node"].as_str().unwrap_or_default();
    let Value::Object(state) = &value["state"] else {
        return vec![format!("{node}  {}", value["state"])];
    };
    let line = |name: &str, value: &Value| format!("{node}  {name}  {}", output::fields(value));
    let field_lines = |(name, value): (&String, &Value)| match value {
        Value::Array(items) => items.iter().map(|it| line(name, it)).collect(),
        value => vec![line(name, value)],
    };
    state.iter().flat_map(field_lines).collect()
}

fn status_lines(value: &Value) -> Vec<String> {
    let node = value["node"].as_str().unwrap_or_default();
    match &value["status"] {
        Value::Object(fields) => {
            let fields = fields
                .iter()
                .map(|(key, value)| format!("{node}  {key}: {value}"));
            fields.collect()
        }
        other => vec![format!("{node}  {other}")],
    }
}
