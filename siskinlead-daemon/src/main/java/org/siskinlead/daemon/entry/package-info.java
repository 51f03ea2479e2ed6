/** HTTP endpoints for callers and operators. */
@NullMarked
package org.siskinlead.daemon.entry;

import org.jspecify.annotations.NullMarked;
