//! Command line program around the library `cli`.

fn main() -> std::process::ExitCode {
    let matches = cli::command().get_matches();
    actix_rt::System::new().block_on(cli::run(&matches)).into()
}
