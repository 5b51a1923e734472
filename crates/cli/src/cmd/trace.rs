//! `trace`: shows the spans of a trace that one VM keeps.

use obs::spans::SpanRecord;
use pico_args::Arguments;

use crate::admin_client;
use crate::admin_client::AdminClient;
use crate::error::reject_unused_args;
use crate::error::Error;

pub(crate) fn run(mut args: Arguments) -> Result<(), Error> {
    let client = AdminClient::new(&mut args)?;
    let id: String = args.free_from_str()?;
    reject_unused_args(args)?;
    let bytes = client.get(&format!("/v1/traces/{id}"))?;
    if client.raw {
        admin_client::print_raw(&bytes);
        return Ok(());
    }
    let spans: Vec<SpanRecord> = admin_client::parse_response(&bytes)?;
    let Some(first) = spans.first() else {
        return Err(Error::Refused(
            "this VM has no spans of the trace; query the VM that received the call, \
             or raise traces.share"
                .into(),
        ));
    };
    for span in &spans {
        println!(
            "{:>9} us {:>9} us  {}",
            span.start - first.start,
            span.took,
            span.name
        );
        for field in &span.fields {
            println!("{:>26} = {}", field.name, field.value);
        }
        if let Some(error) = &span.error {
            println!("{:>26} = {error}", "error");
        }
    }
    Ok(())
}
