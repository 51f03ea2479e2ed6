package org.siskinlead.core.forwarding;

/** What is known of a target that was found down. */
enum TargetLoss {
    /** The target has ended: what ran there will not be answered. */
    ENDED,
    /** The target does not answer. It may have ended, or fall silent for a second and go on. */
    SILENT
}
