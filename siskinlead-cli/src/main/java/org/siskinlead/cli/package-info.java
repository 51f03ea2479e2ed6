/**
 * The operators' client {@code siskinleadctl}. It only reads from daemons, publishes templates and votes, and starts
 * drains.
 */
@NullMarked
package org.siskinlead.cli;

import org.jspecify.annotations.NullMarked;
