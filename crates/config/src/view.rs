//! Immutable configuration lookup for the request path.
//!
//! A view is built once per accepted change and shared by all requests; a lookup allocates at most the list
//! of candidates. A view can be built from any state, and omits references to absent objects.

use std::collections::HashMap;
use std::sync::Arc;

use model::object::service::Call;
use model::object::{Cascade, Kind, Model, Organisation, Pool, Rollout, Service, Version, rollout, version};
use model::refusal::Reason;
use model::{Name, Object, Refusal, Revision};
use sha2::{Digest, Sha256};

use crate::state::State;

mod expand;
mod organisation;
#[cfg(test)]
mod tests;

pub use organisation::OrganisationView;

/// SHA-256 of a bearer key.
pub type KeyHash = [u8; 32];

/// Configuration lookup at one revision.
#[derive(Debug, Default)]
pub struct View {
    revision: Revision,
    organisations: Vec<Arc<OrganisationView>>,
    by_key: HashMap<KeyHash, usize>,
    by_name: HashMap<Name, usize>,
    /// Sorted by name. The bit sets of [`OrganisationView`] hold indices into this list.
    versions: Vec<Arc<Version>>,
    version_index: HashMap<Name, usize>,
    models: HashMap<Name, Arc<Model>>,
    cascades: HashMap<Name, Arc<Cascade>>,
    rollouts: HashMap<Name, Arc<Rollout>>,
    pools: HashMap<Name, Arc<Pool>>,
    services: HashMap<Name, Arc<Service>>,
    /// Steps of each cascade in order, with nested cascades expanded and duplicates removed.
    steps: HashMap<Name, Vec<Step>>,
}

/// A version that may answer a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Version to use unless the roll-out selects its new version.
    pub version: Arc<Version>,
    /// Running roll-out that may replace the version; `None` if the organisation may not use the new version.
    pub rollout: Option<Arc<Rollout>>,
}

/// Versions that a requested name resolves to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidates {
    /// Kind of the requested object: model, version or cascade.
    pub kind: Kind,
    /// Live versions that the organisation may use, in the order of the cascade; never empty.
    pub list: Vec<Candidate>,
}

/// A call of a plain service.
#[derive(Debug, Clone, Copy)]
pub struct ServiceCall<'a> {
    /// The service.
    pub service: &'a Arc<Service>,
    /// The call.
    pub call: &'a Call,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Step {
    /// The default version of a model, by index.
    Model(usize),
    /// A specific version, by index.
    Version(usize),
}

/// Parses a hexadecimal SHA-256.
pub fn parse_key_hash(text: &str) -> Option<KeyHash> {
    let mut hash = KeyHash::default();
    hex::decode_to_slice(text, &mut hash).ok()?;
    Some(hash)
}

/// Computes the SHA-256 of a bearer key.
pub fn hash_key(bearer: &str) -> KeyHash {
    Sha256::digest(bearer.as_bytes()).into()
}

impl View {
    /// Builds the lookup for a state.
    pub fn new(state: &State) -> Self {
        let mut view = Self {
            revision: state.revision(),
            ..Self::default()
        };
        let mut organisations = Vec::new();
        for entry in state.objects().values() {
            match &*entry.object {
                Object::Organisation(it) => organisations.push(it),
                object => view.add(object),
            }
        }
        view.steps = expand::expand(&view);
        let by_model = organisation::versions_by_model(&view.versions);
        for organisation in organisations {
            view.add_organisation(organisation, &by_model);
        }
        view
    }

    /// Revision of the state that the view was built from.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The organisation that owns a bearer key.
    ///
    /// # Errors
    /// `unauthorised` if no organisation has the key.
    pub fn organisation_by_key(&self, key: &KeyHash) -> Result<&Arc<OrganisationView>, Refusal> {
        let index = self
            .by_key
            .get(key)
            .ok_or(Refusal::not_run(Reason::Unauthorised))?;
        Ok(&self.organisations[*index])
    }

    /// The organisation with a name.
    pub fn organisation_by_name(&self, name: &str) -> Option<&Arc<OrganisationView>> {
        Some(&self.organisations[*self.by_name.get(name)?])
    }

    /// All organisations, ordered by name.
    pub fn organisations(&self) -> &[Arc<OrganisationView>] {
        &self.organisations
    }

    /// Resolves a requested model, version or cascade to the versions that may answer.
    ///
    /// # Errors
    /// `unknown_name` if no object has the name, `not_allowed` if the organisation may use none of the
    /// versions, or `version_withdrawn` if all versions that it may use are withdrawn.
    pub fn candidates(
        &self,
        organisation: &OrganisationView,
        requested: &str,
    ) -> Result<Candidates, Refusal> {
        if let Some(model) = self.models.get(requested) {
            let index = self.version_index.get(&model.default_version).copied();
            let steps: Vec<_> = index.map(Step::Model).into_iter().collect();
            return self.candidates_of(organisation, Kind::Model, &steps);
        }
        if let Some(index) = self.version_index.get(requested) {
            return self.candidates_of(organisation, Kind::Version, &[Step::Version(*index)]);
        }
        let Some(steps) = self.steps.get(requested) else {
            return Err(Refusal::not_run(Reason::UnknownName));
        };
        if !organisation.allows_cascade(requested) {
            return Err(Refusal::not_run(Reason::NotAllowed));
        }
        self.candidates_of(organisation, Kind::Cascade, steps)
    }

    /// The version that a session is pinned to.
    ///
    /// # Errors
    /// As for [`View::candidates`].
    pub fn pinned(&self, organisation: &OrganisationView, version: &str) -> Result<&Arc<Version>, Refusal> {
        let index = self
            .version_index
            .get(version)
            .ok_or(Refusal::not_run(Reason::UnknownName))?;
        if !organisation.allows_index(*index) {
            return Err(Refusal::not_run(Reason::NotAllowed));
        }
        let version = &self.versions[*index];
        match version.state {
            version::State::Live => Ok(version),
            version::State::Withdrawn => Err(Refusal::not_run(Reason::VersionWithdrawn)),
        }
    }

    /// Names of models, versions and cascades that an organisation may request and that resolve to a live
    /// version.
    pub fn requestable(&self, organisation: &OrganisationView) -> Vec<(Name, Kind)> {
        let names = self
            .models
            .keys()
            .chain(self.version_index.keys())
            .chain(self.cascades.keys());
        let mut list: Vec<_> = names
            .filter_map(|it| Some((it.clone(), self.candidates(organisation, it).ok()?.kind)))
            .collect();
        list.sort_unstable();
        list
    }

    /// Whether a version accepts no new requests because it is withdrawn or absent.
    pub fn is_withdrawn(&self, version: &str) -> bool {
        self.version(version)
            .is_none_or(|it| it.state == version::State::Withdrawn)
    }

    /// A version by name.
    pub fn version(&self, name: &str) -> Option<&Arc<Version>> {
        Some(&self.versions[*self.version_index.get(name)?])
    }

    /// All versions, ordered by name.
    pub fn versions(&self) -> &[Arc<Version>] {
        &self.versions
    }

    /// A model by name.
    pub fn model(&self, name: &str) -> Option<&Arc<Model>> {
        self.models.get(name)
    }

    /// The running roll-out of a model.
    pub fn rollout(&self, model: &str) -> Option<&Arc<Rollout>> {
        self.rollouts.get(model)
    }

    /// All running roll-outs, in no particular order.
    pub fn rollouts(&self) -> impl Iterator<Item = &Arc<Rollout>> {
        self.rollouts.values()
    }

    /// A pool by name.
    pub fn pool(&self, name: &str) -> Option<&Arc<Pool>> {
        self.pools.get(name)
    }

    /// All pools, in no particular order.
    pub fn pools(&self) -> impl Iterator<Item = &Arc<Pool>> {
        self.pools.values()
    }

    /// All services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Resolves a method and path to a call of a plain service.
    ///
    /// # Errors
    /// `unknown_name` if the service or the call does not exist, `not_allowed` if the organisation may not
    /// use the service.
    pub fn service_call(
        &self,
        organisation: &OrganisationView,
        service: &str,
        method: &str,
        path: &str,
    ) -> Result<ServiceCall<'_>, Refusal> {
        let service = self
            .services
            .get(service)
            .ok_or(Refusal::not_run(Reason::UnknownName))?;
        if !organisation.allows_service(&service.name) {
            return Err(Refusal::not_run(Reason::NotAllowed));
        }
        let call = service
            .call(method, path)
            .ok_or(Refusal::not_run(Reason::UnknownName))?;
        Ok(ServiceCall { service, call })
    }

    fn add(&mut self, object: &Object) {
        match object {
            Object::Organisation(_) => {}
            Object::Model(it) => insert(&mut self.models, &it.name, it),
            Object::Version(it) => {
                self.version_index.insert(it.name.clone(), self.versions.len());
                self.versions.push(Arc::new(it.clone()));
            }
            Object::Cascade(it) => insert(&mut self.cascades, &it.name, it),
            Object::Rollout(it) if it.state == rollout::State::Running => {
                insert(&mut self.rollouts, &it.model, it);
            }
            Object::Rollout(_) => {}
            Object::Pool(it) => insert(&mut self.pools, &it.name, it),
            Object::Service(it) => insert(&mut self.services, &it.name, it),
        }
    }

    fn add_organisation(&mut self, organisation: &Organisation, by_model: &HashMap<Name, Vec<usize>>) {
        let index = self.organisations.len();
        self.by_name.insert(organisation.name.clone(), index);
        for hash in organisation.key_hashes.iter().filter_map(|it| parse_key_hash(it)) {
            self.by_key.insert(hash, index);
        }
        let organisation = OrganisationView::new(organisation, &self.version_index, by_model);
        self.organisations.push(Arc::new(organisation));
    }

    fn candidates_of(
        &self,
        organisation: &OrganisationView,
        kind: Kind,
        steps: &[Step],
    ) -> Result<Candidates, Refusal> {
        let mut reason = Reason::NotAllowed;
        let mut list = Vec::with_capacity(steps.len());
        for step in steps {
            let (Step::Model(index) | Step::Version(index)) = *step;
            if !organisation.allows_index(index) {
                continue;
            }
            let version = &self.versions[index];
            if version.state == version::State::Withdrawn {
                reason = Reason::VersionWithdrawn;
                continue;
            }
            list.push(Candidate {
                version: Arc::clone(version),
                rollout: self.rollout_of(organisation, *step).cloned(),
            });
        }
        if list.is_empty() {
            return Err(Refusal::not_run(reason));
        }
        Ok(Candidates { kind, list })
    }

    fn rollout_of(&self, organisation: &OrganisationView, step: Step) -> Option<&Arc<Rollout>> {
        let Step::Model(index) = step else {
            return None;
        };
        let rollout = self.rollouts.get(&self.versions[index].model)?;
        self.pinned(organisation, &rollout.to).ok()?;
        Some(rollout)
    }
}

fn insert<T: Clone>(map: &mut HashMap<Name, Arc<T>>, name: &Name, object: &T) {
    map.insert(name.clone(), Arc::new(object.clone()));
}
