/**
 * Templates that operators publish, votes of their members, and the limits in force. An accepted revision is never
 * rolled back.
 */
@NullMarked
package org.siskinlead.core.configuration;

import org.jspecify.annotations.NullMarked;
