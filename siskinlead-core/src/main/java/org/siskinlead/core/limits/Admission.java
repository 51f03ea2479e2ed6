package org.siskinlead.core.limits;

/** Result of acquiring a slot of a team's limit. */
public enum Admission {
    /** The request may start; its slot must be released when it ends. */
    ADMITTED,
    /** No slot or start token became free within the maximum wait. */
    LIMIT_REACHED,
    /** The team's queue on this daemon was full. */
    QUEUE_FULL
}
