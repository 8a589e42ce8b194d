//! `wasabicrank settings`: prints every settings field with its default and meaning.

use argh::FromArgs;
use wasabicrank_lib::protocol::FIELDS;
use wasabicrank_lib::protocol::Field;
use wasabicrank_lib::protocol::Preset;

use crate::output::Exit;
use crate::output::print;

/// Print every settings field with its unit, range, default and meaning.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "settings",
    example = "{command_name}",
    example = "Start a settings file:\n  {command_name} --json > entry-1.json",
    error_code(0, "the settings are on standard output"),
    error_code(2, "wrong use of the command line")
)]
pub(crate) struct PrintSettings {
    /// print only JSON that a settings file can start from, with sample values where there is no
    /// default
    #[argh(switch)]
    json: bool,
}

impl PrintSettings {
    /// Prints the table of fields.
    pub(crate) fn run(self) -> Exit {
        print(&if self.json { plain() } else { annotated() })
    }
}

/// Returns the fields as a JSON object.
fn plain() -> String {
    let lines: Vec<String> = FIELDS
        .iter()
        .filter_map(|field| Some(format!("  \"{}\": {}", field.name, value(field)?)))
        .collect();
    format!("{{\n{}\n}}\n", lines.join(",\n"))
}

/// Returns the fields with comments.
fn annotated() -> String {
    let intro = "// The settings of one entry host, with their defaults or samples. Fields with a\n\
                 // default may be left out. `--json` prints them without comments, for a new file.\n";
    let fields: Vec<String> = FIELDS.iter().map(annotated_field).collect();
    format!("{intro}{{\n{}}}\n", fields.join("\n"))
}

/// Returns one field with its meaning, form and default.
fn annotated_field(field: &Field) -> String {
    let default = match field.default {
        Preset::Required => "required, for example:",
        Preset::Absent => "absent by default",
        _ => "default:",
    };
    let shown = match value(field) {
        Some(value) => format!("\"{}\": {value},", field.name),
        None => format!("// \"{}\": …,", field.name),
    };
    let (meaning, form) = (field.meaning, field.expected());
    format!("  // {meaning}\n  // Form: {form}; {default}\n  {shown}\n")
}

/// Returns the default, or the sample where there is none.
fn value(field: &Field) -> Option<String> {
    let sample = (!field.sample.is_empty()).then(|| field.sample.to_owned());
    field.default_value().map(|value| value.to_string()).or(sample)
}
