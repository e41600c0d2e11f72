#include "cli/command.h"
#include "cli/options.h"

namespace goldcrestline::cli {

int runReport(const Arguments &)
{
    return usageError("no report yet");
}

} // namespace goldcrestline::cli
