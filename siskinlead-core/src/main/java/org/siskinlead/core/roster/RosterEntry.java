package org.siskinlead.core.roster;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * A daemon that serves callers.
 * @param vm name of its VM
 * @param address IP number and port at which it takes callers' requests
 * @param dataCentre data centre it is in
 */
public record RosterEntry(String vm, String address, String dataCentre) {
    private static final String SEPARATOR = "\n";

    /** Value that a daemon puts in place of its entry when it leaves; no entry reads so. */
    static final byte[] LEAVING = "leaving".getBytes(StandardCharsets.UTF_8);

    byte[] encode() {
        return String.join(SEPARATOR, address, dataCentre).getBytes(StandardCharsets.UTF_8);
    }

    static Optional<RosterEntry> decode(String vm, byte[] value) {
        String[] parts = new String(value, StandardCharsets.UTF_8).split(SEPARATOR, -1);
        return parts.length == 2 ? Optional.of(new RosterEntry(vm, parts[0], parts[1])) : Optional.empty();
    }
}
