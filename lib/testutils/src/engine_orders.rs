//! Orders to an engine: loading models, setting its role, and checking fencing numbers.

use serde::Deserialize;
use serde::Serialize;

/// A model loaded on an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// The model's name.
    pub model: String,
    /// The version of its weights.
    pub revision: String,
    /// The adapters loaded with it.
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
    /// The requested action.
    #[serde(flatten)]
    pub action: OrderAction,
}

/// The action that an order requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Load a model or switch it to another revision.
    LoadModel { model: String, revision: String },
    /// Unload a model if this revision is loaded.
    UnloadModel { model: String, revision: String },
    /// Load an adapter for a model.
    LoadAdapter { model: String, adapter: String },
    /// Change the engine's role.
    SetRole { role: String },
}

/// Error for an order whose fencing number is lower than one seen before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StaleFence {
    /// The highest fencing number seen.
    pub fence: u64,
}

/// The loaded models and the role of an engine.
#[derive(Debug, Clone)]
pub struct EngineSetup {
    fenced: bool,
    fence: u64,
    /// The loaded models.
    pub models: Vec<LoadedModel>,
    /// The engine's role: `any`, `short` or `long`.
    pub role: String,
    /// The received orders, including stale ones, oldest first.
    pub received: Vec<EngineOrder>,
}

impl EngineSetup {
    /// Starts with `models`; `fenced` engines reject a stale fencing number.
    pub fn new(models: Vec<LoadedModel>, fenced: bool) -> EngineSetup {
        EngineSetup { fenced, fence: 0, models, role: "any".to_owned(), received: Vec::new() }
    }

    /// Returns the model called `name`, if it is loaded.
    pub fn model(&self, name: &str) -> Option<&LoadedModel> {
        self.models.iter().find(|model| model.model == name)
    }

    /// Records an order and checks its fencing number.
    pub fn receive(&mut self, order: &EngineOrder) -> Result<(), StaleFence> {
        self.received.push(order.clone());
        if self.fenced && order.fence < self.fence {
            return Err(StaleFence { fence: self.fence });
        }
        self.fence = self.fence.max(order.fence);
        Ok(())
    }

    /// Returns whether an action needs weights that are not loaded.
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

    /// Applies an action.
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
