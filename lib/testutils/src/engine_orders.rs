//! What an engine was ordered to load and do, with its check of fencing numbers.

use serde::Deserialize;
use serde::Serialize;

/// A model that is loaded on an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// The model's name.
    pub model: String,
    /// The version of its weights.
    pub revision: String,
    /// The adapters that are loaded with it.
    pub adapters: Vec<String>,
}

impl LoadedModel {
    /// Returns `model` in `revision`, without adapters.
    pub fn new(model: impl Into<String>, revision: impl Into<String>) -> LoadedModel {
        LoadedModel { model: model.into(), revision: revision.into(), adapters: Vec::new() }
    }
}

/// The body of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The fencing number.
    pub fence: u64,
    /// What to do.
    #[serde(flatten)]
    pub action: OrderAction,
}

/// What an order asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Load a model, or move it to another revision.
    LoadModel { model: String, revision: String },
    /// Drop a model if it is loaded in this revision.
    UnloadModel { model: String, revision: String },
    /// Load an adapter for a model.
    LoadAdapter { model: String, adapter: String },
    /// Change what the engine is used for.
    SetRole { role: String },
}

/// Says that an order's fencing number is lower than one seen before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StaleFence {
    /// The highest number seen.
    pub fence: u64,
}

/// What an engine has loaded and is used for.
#[derive(Debug, Clone)]
pub struct EngineSetup {
    fenced: bool,
    fence: u64,
    /// The models that are loaded.
    pub models: Vec<LoadedModel>,
    /// What the engine is used for: `any`, `short` or `long`.
    pub role: String,
    /// The orders that came, with stale ones, oldest first.
    pub received: Vec<EngineOrder>,
}

impl EngineSetup {
    /// Starts with `models`; `fenced` engines refuse an old fencing number.
    pub fn new(models: Vec<LoadedModel>, fenced: bool) -> EngineSetup {
        EngineSetup { fenced, fence: 0, models, role: "any".to_owned(), received: Vec::new() }
    }

    /// Returns the model called `name`, if it is loaded.
    pub fn model(&self, name: &str) -> Option<&LoadedModel> {
        self.models.iter().find(|model| model.model == name)
    }

    /// Notes an order and checks its fencing number.
    pub fn receive(&mut self, order: &EngineOrder) -> Result<(), StaleFence> {
        self.received.push(order.clone());
        if self.fenced && order.fence < self.fence {
            return Err(StaleFence { fence: self.fence });
        }
        self.fence = self.fence.max(order.fence);
        Ok(())
    }

    /// Tells whether an action needs weights that are not here.
    pub fn needs_weights(&self, action: &OrderAction) -> bool {
        match action {
            OrderAction::LoadModel { model, revision } => {
                self.model(model).is_none_or(|loaded| loaded.revision != *revision)
            }
            OrderAction::LoadAdapter { model, adapter } => {
                self.model(model).is_none_or(|loaded| !loaded.adapters.contains(adapter))
            }
            OrderAction::UnloadModel { .. } | OrderAction::SetRole { .. } => false,
        }
    }

    /// Does what an order asks for.
    pub fn apply(&mut self, action: &OrderAction) {
        match action {
            OrderAction::LoadModel { model, revision } => {
                if self.needs_weights(action) {
                    self.models.retain(|loaded| loaded.model != *model);
                    self.models.push(LoadedModel::new(model, revision));
                }
            }
            OrderAction::UnloadModel { model, revision } => {
                self.models.retain(|loaded| loaded.model != *model || loaded.revision != *revision);
            }
            OrderAction::LoadAdapter { model, adapter } => {
                let missing = self.needs_weights(action);
                let loaded = self.models.iter_mut().find(|loaded| loaded.model == *model);
                if let (true, Some(loaded)) = (missing, loaded) {
                    loaded.adapters.push(adapter.clone());
                }
            }
            OrderAction::SetRole { role } => self.role.clone_from(role),
        }
    }
}
