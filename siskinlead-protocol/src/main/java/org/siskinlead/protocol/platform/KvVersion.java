package org.siskinlead.protocol.platform;

/**
 * Response of the key-value service to a write.
 * @param version current version of the key, after a write or a conflict
 */
public record KvVersion(long version) {}
