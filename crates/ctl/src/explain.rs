//! The command `explain`.

use attohttpc::RequestBuilder;
use serde_json::Value;

use crate::args::Explain;
use crate::failure::Failure;
use crate::nodes::{call, url};
use crate::output::{self, Format};

/// Status with which a node responds to wrong arguments.
const BAD_REQUEST: u16 = 400;

/// Columns of the table of engines, before the terms of the cost.
const COLUMNS: &[(&str, &str)] = &[
    ("engine", "id"),
    ("version", "version"),
    ("domain", "domain"),
    ("access", "access"),
    ("wait ms", "wait_ms"),
    ("limit", "request_limit"),
    ("places", "places_taken"),
    ("requests", "requests"),
    ("own", "in_flight"),
    ("chosen", "chosen"),
    ("cost", "cost"),
];

/// Prints where a node would send a request.
pub fn run(args: &Explain, format: Format) -> Result<(), Failure> {
    let explanation = call(request(args), args.node, None).map_err(failure)?;
    output::print(&explanation, format, lines);
    Ok(())
}

fn request(args: &Explain) -> RequestBuilder {
    let Explain {
        node,
        host,
        path,
        model,
        tokens,
        part,
        id,
    } = args;
    let given = [("model", model), ("tokens", tokens), ("part", part), ("id", id)];
    let given = given
        .into_iter()
        .filter_map(|(name, it)| Some((name, it.as_ref()?)));
    attohttpc::get(url(*node, "/explain"))
        .param("host", host)
        .param("path", path)
        .params(given)
}

/// The failure with the message of the node instead of its JSON.
fn failure(failure: Failure) -> Failure {
    let Failure::Status(_, status, text) = &failure else {
        return failure;
    };
    let body: Value = serde_json::from_str(text).unwrap_or_default();
    match (body["message"].as_str(), *status) {
        (Some(message), BAD_REQUEST) => Failure::Arguments(message.to_owned()),
        (Some(message), _) => Failure::Refused(message.to_owned()),
        (None, _) => failure,
    }
}

fn lines(explanation: &Value) -> Vec<String> {
    let mut lines = vec![];
    for name in ["node", "configuration", "route"] {
        lines.push(format!("{name}  {}", output::fields(&explanation[name])));
    }
    for service in items(&explanation["services"]) {
        lines.push(String::new());
        lines.extend(service_lines(service));
    }
    lines
}

fn service_lines(service: &Value) -> Vec<String> {
    let mut lines = vec![];
    let Value::Object(fields) = service else {
        return lines;
    };
    lines.push(format!("service  {}", output::fields(&service["service"])));
    for (name, value) in fields {
        match value {
            _ if name == "service" || name == "engines" || value.is_null() => {}
            Value::Array(items) => {
                lines.extend(items.iter().map(|it| format!("{name}  {}", output::fields(it))));
            }
            value => lines.push(format!("{name}  {}", output::fields(value))),
        }
    }
    lines.extend(table(items(&service["engines"])));
    lines
}

fn items(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

/// One aligned line for each engine, after one with the names of the columns.
fn table(engines: &[Value]) -> Vec<String> {
    let terms = engines.iter().find_map(|it| it["terms"].as_object());
    let terms: Vec<&str> = terms.map_or(vec![], |it| it.keys().map(String::as_str).collect());
    let names = COLUMNS.iter().map(|it| it.0).chain(terms.iter().copied());
    let mut rows: Vec<Vec<String>> = vec![names.map(str::to_owned).collect()];
    for engine in engines {
        let own = COLUMNS.iter().map(|it| cell(&engine[it.1]));
        let terms = terms.iter().map(|it| cell(&engine["terms"][it]));
        rows.push(own.chain(terms).collect());
    }
    let widths: Vec<usize> = (0..rows[0].len())
        .map(|column| {
            rows.iter()
                .map(|row| row[column].chars().count())
                .max()
                .unwrap_or_default()
        })
        .collect();
    let line = |row: &Vec<String>| {
        let cells = row
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:width$}"));
        cells.collect::<Vec<_>>().join("  ").trim_end().to_owned()
    };
    rows.iter().map(line).collect()
}

/// A value of the table; fractions have three digits.
fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Number(number) if number.is_f64() => format!("{:.3}", number.as_f64().unwrap_or_default()),
        value => value.to_string(),
    }
}
