//! Typed access to INI text, with collection of errors.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use ini::Ini;
use model::Name;

use super::error::{ErrorCause, SettingsError, SettingsErrors};

const ADDRESS: &str = "an IP address with a port";
const NUMBER: &str = "a whole number";
const FRACTION: &str = "a number of zero or more";
const FLAG: &str = "true or false";
const NAME: &str = "a name of 1 to 64 letters, digits, '-', '_' or '.'";
const PATH: &str = "a path";
const MAX_NAME_LEN: usize = 64;

/// Reads values and collects errors; [`Reader::finish`] also reports the keys that were never read.
#[derive(Debug)]
pub(super) struct Reader<'a> {
    file: &'a str,
    sections: BTreeMap<&'a str, BTreeMap<&'a str, &'a str>>,
    /// Sections and keys that were read, whether they are set or not.
    known: BTreeMap<&'static str, BTreeSet<&'static str>>,
    errors: Vec<SettingsError>,
}

impl<'a> Reader<'a> {
    pub(super) fn new(file: &'a str, ini: &'a Ini) -> Self {
        let mut reader = Self {
            file,
            sections: BTreeMap::new(),
            known: BTreeMap::new(),
            errors: Vec::new(),
        };
        for (section, properties) in ini {
            for (key, value) in properties {
                let section = section.unwrap_or_default();
                let replaced = reader.sections.entry(section).or_default().insert(key, value);
                if replaced.is_some() {
                    reader.report(section, key, ErrorCause::DuplicateKey);
                }
            }
        }
        reader
    }

    pub(super) fn has(&self, section: &str) -> bool {
        self.sections.contains_key(section)
    }

    /// Whether a key is set.
    pub(super) fn is_set(&self, section: &str, key: &str) -> bool {
        self.sections.get(section).is_some_and(|it| it.contains_key(key))
    }

    pub(super) fn name(&mut self, section: &'static str, key: &'static str) -> Option<Name> {
        let value = self.required(section, key)?;
        let valid = |it: char| it.is_ascii_alphanumeric() || "-_.".contains(it);
        if value.is_empty() || value.len() > MAX_NAME_LEN || !value.chars().all(valid) {
            self.malformed(section, key, value, NAME);
            return None;
        }
        Some(value.into())
    }

    pub(super) fn address(&mut self, section: &'static str, key: &'static str) -> Option<SocketAddr> {
        let value = self.required(section, key)?;
        self.parse(section, key, value, ADDRESS)
    }

    /// The outer `None` means an error, the inner one an absent key.
    pub(super) fn optional_address(
        &mut self,
        section: &'static str,
        key: &'static str,
    ) -> Option<Option<SocketAddr>> {
        match self.value(section, key) {
            None => Some(None),
            Some(value) => self.parse(section, key, value, ADDRESS).map(Some),
        }
    }

    pub(super) fn addresses(&mut self, section: &'static str, key: &'static str) -> Option<Vec<SocketAddr>> {
        let value = self.value(section, key).unwrap_or_default();
        let parts = value.split(',').map(str::trim).filter(|it| !it.is_empty());
        let parsed: Vec<_> = parts.map(|it| self.parse(section, key, it, ADDRESS)).collect();
        parsed.into_iter().collect()
    }

    pub(super) fn path(&mut self, section: &'static str, key: &'static str) -> Option<PathBuf> {
        let value = self.required(section, key)?;
        if value.is_empty() {
            self.malformed(section, key, value, PATH);
            return None;
        }
        Some(value.into())
    }

    pub(super) fn optional_path(&mut self, section: &'static str, key: &'static str) -> Option<PathBuf> {
        self.value(section, key)
            .filter(|it| !it.is_empty())
            .map(PathBuf::from)
    }

    pub(super) fn count(
        &mut self,
        section: &'static str,
        key: &'static str,
        range: RangeInclusive<usize>,
        default: usize,
    ) -> Option<usize> {
        let range = *range.start() as u64..=*range.end() as u64;
        let number = self.number(section, key, range, default as u64)?;
        usize::try_from(number).ok()
    }

    pub(super) fn millis(
        &mut self,
        section: &'static str,
        key: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> Option<Duration> {
        self.number(section, key, range, default)
            .map(Duration::from_millis)
    }

    pub(super) fn seconds(
        &mut self,
        section: &'static str,
        key: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> Option<Duration> {
        self.number(section, key, range, default).map(Duration::from_secs)
    }

    /// A required number, possibly fractional.
    pub(super) fn fraction(&mut self, section: &'static str, key: &'static str) -> Option<f64> {
        let value = self.required(section, key)?;
        let number: f64 = self.parse(section, key, value, FRACTION)?;
        if !number.is_finite() || number < 0.0 {
            self.malformed(section, key, value, FRACTION);
            return None;
        }
        Some(number)
    }

    /// A number that is not negative, or `default` if the key is not set.
    pub(super) fn fraction_or(
        &mut self,
        section: &'static str,
        key: &'static str,
        default: f64,
    ) -> Option<f64> {
        match self.value(section, key) {
            Some(_) => self.fraction(section, key),
            None => Some(default),
        }
    }

    /// A time in seconds, possibly fractional; the range is in seconds.
    pub(super) fn fractional_seconds(
        &mut self,
        section: &'static str,
        key: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> Option<Duration> {
        self.fractional_time(section, key, range, default, 1.0)
    }

    /// A time in milliseconds, possibly fractional; the range is in milliseconds.
    pub(super) fn fractional_millis(
        &mut self,
        section: &'static str,
        key: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> Option<Duration> {
        self.fractional_time(section, key, range, default, 0.001)
    }

    fn fractional_time(
        &mut self,
        section: &'static str,
        key: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
        unit_seconds: f64,
    ) -> Option<Duration> {
        let number = self.fractional(section, key, range, default)?;
        Some(Duration::from_secs_f64(number * unit_seconds))
    }

    /// A number, possibly fractional.
    pub(super) fn fractional(
        &mut self,
        section: &'static str,
        key: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> Option<f64> {
        let number = self.fraction_or(section, key, default as f64)?;
        let (low, high) = range.into_inner();
        if number < low as f64 || number > high as f64 {
            let value = number as u64;
            self.report(section, key, ErrorCause::OutOfRange { value, low, high });
            return None;
        }
        Some(number)
    }

    /// A required `true` or `false`.
    pub(super) fn flag(&mut self, section: &'static str, key: &'static str) -> Option<bool> {
        let value = self.required(section, key)?;
        self.parse(section, key, value, FLAG)
    }

    pub(super) fn report_conflict(&mut self, section: &str, key: &str, other: &'static str) {
        self.report(section, key, ErrorCause::Conflict { other });
    }

    /// Adds the errors of unknown sections and keys, and returns all.
    pub(super) fn finish(mut self) -> SettingsErrors {
        let sections = std::mem::take(&mut self.sections);
        for (section, values) in sections {
            let Some(known) = self.known.get(section).cloned() else {
                self.report(section, "", ErrorCause::UnknownSection);
                continue;
            };
            for key in values.keys().filter(|it| !known.contains(*it)) {
                self.report(section, key, ErrorCause::UnknownKey);
            }
        }
        SettingsErrors(self.errors)
    }

    fn number(
        &mut self,
        section: &'static str,
        key: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> Option<u64> {
        let Some(value) = self.value(section, key) else {
            return Some(default);
        };
        let number = self.parse(section, key, value, NUMBER)?;
        if !range.contains(&number) {
            let (low, high) = range.into_inner();
            self.report(
                section,
                key,
                ErrorCause::OutOfRange {
                    value: number,
                    low,
                    high,
                },
            );
            return None;
        }
        Some(number)
    }

    fn parse<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        value: &str,
        expected: &'static str,
    ) -> Option<T> {
        let parsed = value.parse().ok();
        if parsed.is_none() {
            self.malformed(section, key, value, expected);
        }
        parsed
    }

    fn required(&mut self, section: &'static str, key: &'static str) -> Option<&'a str> {
        let value = self.value(section, key);
        if value.is_none() {
            self.report(section, key, ErrorCause::MissingKey);
        }
        value
    }

    fn value(&mut self, section: &'static str, key: &'static str) -> Option<&'a str> {
        self.known.entry(section).or_default().insert(key);
        self.sections.get(section)?.get(key).copied()
    }

    fn malformed(&mut self, section: &str, key: &str, value: &str, expected: &'static str) {
        self.report(
            section,
            key,
            ErrorCause::MalformedValue {
                value: value.to_owned(),
                expected,
            },
        );
    }

    fn report(&mut self, section: &str, key: impl Display, cause: ErrorCause) {
        let error = SettingsError {
            file: self.file.to_owned(),
            section: section.to_owned(),
            key: key.to_string(),
            cause,
        };
        self.errors.push(error);
    }
}
