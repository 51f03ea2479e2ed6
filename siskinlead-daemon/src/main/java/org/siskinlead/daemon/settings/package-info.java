/** Settings from flags and environment variables, all validated before anything starts. */
@NullMarked
package org.siskinlead.daemon.settings;

import org.jspecify.annotations.NullMarked;
