/** Retry budgets and protection against requests that crash their targets. */
@NullMarked
package org.siskinlead.core.retry;

import org.jspecify.annotations.NullMarked;
