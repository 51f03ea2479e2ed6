package org.siskinlead.protocol.caller;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * Entry VMs that callers may use, best first.
 * @param entries the entry VMs
 * @param keepMs time for which callers may cache the response, in milliseconds
 */
public record EntryAnswer(
        List<Entry> entries, @JsonProperty("keep_ms") long keepMs) {
    /**
     * Entry VM.
     * @param address IP address and port
     * @param dataCentre data centre of the VM
     */
    public record Entry(
            String address, @JsonProperty("data_centre") String dataCentre) {}
}
