//! Guards against example settings that the daemon would reject.

use std::path::Path;

use config::settings::Settings;

#[expect(
    clippy::needless_pass_by_value,
    reason = "the harness passes the text by value"
)]
fn check(path: &Path, text: String) -> datatest_stable::Result<()> {
    Settings::parse(&path.display().to_string(), &text)?;
    Ok(())
}

datatest_stable::harness! {
    { test = check, root = "../../examples", pattern = r"\.ini$" },
}
