package org.siskinlead.core.forwarding;

/**
 * An HTTP header field (RFC 9110, section 5) as received.
 * @param name field name as received
 * @param value field value as received
 */
public record HeaderField(String name, String value) {
    /**
     * Compares the name, ignoring case.
     * @param other a header name
     * @return whether this field has that name
     */
    public boolean isNamed(String other) {
        return name.equalsIgnoreCase(other);
    }
}
