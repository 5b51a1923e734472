//! `trace`: shows the spans of a trace that one VM keeps.

use obs::spans::SpanRecord;
use pico_args::Arguments;

use crate::error::finish;
use crate::error::Error;
use crate::remote;
use crate::remote::Remote;

pub(crate) fn run(mut args: Arguments) -> Result<(), Error> {
    let remote = Remote::new(&mut args)?;
    let id: String = args.free_from_str()?;
    finish(args)?;
    let bytes = remote.get(&format!("/v1/traces/{id}"))?;
    if remote.raw {
        remote::show(&bytes);
        return Ok(());
    }
    let spans: Vec<SpanRecord> = remote::parse(&bytes)?;
    let Some(first) = spans.first() else {
        return Err(Error::Refused(
            "this VM keeps no span of the trace; ask the VM that took the call, \
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
