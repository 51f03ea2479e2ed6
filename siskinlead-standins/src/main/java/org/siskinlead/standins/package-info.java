/** Stand-ins for the platform, model engines and plain services, and a load generator. Not part of a release. */
@NullMarked
package org.siskinlead.standins;

import org.jspecify.annotations.NullMarked;
