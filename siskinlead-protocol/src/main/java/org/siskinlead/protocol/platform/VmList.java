package org.siskinlead.protocol.platform;

import java.util.List;
import org.siskinlead.core.platform.VmEntry;

/**
 * List of VMs as the platform reports it; it lags behind their actual state.
 * @param vms VMs in the order of the platform
 */
public record VmList(List<VmEntry> vms) {}
