/** Distributes voted limits among daemons. The sum of all daemons' slots never exceeds the limit in force. */
@NullMarked
package org.siskinlead.core.limits;

import org.jspecify.annotations.NullMarked;
