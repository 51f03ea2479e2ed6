/**
 * Configuration of the router: routes, services, teams and request limits. A catalog is immutable; a newer one replaces
 * it as a whole.
 */
@NullMarked
package org.siskinlead.core.catalog;

import org.jspecify.annotations.NullMarked;
