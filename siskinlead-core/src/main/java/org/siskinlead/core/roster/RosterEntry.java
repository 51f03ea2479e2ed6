package org.siskinlead.core.roster;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Registration of a daemon that takes requests.
 * @param vm name of its VM
 * @param address IP address and port for callers
 * @param dataCentre data centre of the VM
 */
public record RosterEntry(String vm, String address, String dataCentre) {
    private static final String SEPARATOR = "\n";

    /** Value that replaces the entry of a daemon that leaves; differs from every encoded entry. */
    static final byte[] LEAVING = "leaving".getBytes(StandardCharsets.UTF_8);

    byte[] encode() {
        return String.join(SEPARATOR, address, dataCentre).getBytes(StandardCharsets.UTF_8);
    }

    static Optional<RosterEntry> decode(String vm, byte[] value) {
        String[] parts = new String(value, StandardCharsets.UTF_8).split(SEPARATOR, -1);
        return parts.length == 2 ? Optional.of(new RosterEntry(vm, parts[0], parts[1])) : Optional.empty();
    }
}
