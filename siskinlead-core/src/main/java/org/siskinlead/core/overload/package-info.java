/** Limits on the requests in flight for each model, adapted to the time between tokens. */
@NullMarked
package org.siskinlead.core.overload;

import org.jspecify.annotations.NullMarked;
