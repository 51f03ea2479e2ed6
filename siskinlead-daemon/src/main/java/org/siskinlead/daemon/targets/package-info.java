/** HTTP client of model engines and plain services. */
@NullMarked
package org.siskinlead.daemon.targets;

import org.jspecify.annotations.NullMarked;
