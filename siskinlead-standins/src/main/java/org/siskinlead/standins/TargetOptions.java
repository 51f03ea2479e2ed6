package org.siskinlead.standins;

import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.siskinlead.core.platform.VmEntry;

/** Command-line flags common to the stand-ins for targets. */
final class TargetOptions {
    private final OptionSpec<String> id;
    private final OptionSpec<String> address;
    private final OptionSpec<String> dataCentre;
    private final OptionSpec<String> platform;
    private final OptionSpec<String> ledger;

    TargetOptions(OptionParser parser) {
        id = required(parser, "id");
        address = required(parser, "address");
        dataCentre = required(parser, "data-centre");
        platform = required(parser, "platform");
        ledger = required(parser, "ledger");
    }

    String id(OptionSet options) {
        return options.valueOf(id);
    }

    String address(OptionSet options) {
        return options.valueOf(address);
    }

    String platform(OptionSet options) {
        return options.valueOf(platform);
    }

    Ledger openLedger(OptionSet options) {
        return Ledger.open(options.valueOf(ledger));
    }

    /** Creates the target's entry in the platform's list of VMs. */
    VmEntry vmEntry(OptionSet options, VmEntry.Role role, String service) {
        return new VmEntry(
                id(options), address(options), options.valueOf(dataCentre), role, service, VmEntry.State.LIVE);
    }

    private static OptionSpec<String> required(OptionParser parser, String name) {
        return parser.accepts(name).withRequiredArg().required();
    }
}
