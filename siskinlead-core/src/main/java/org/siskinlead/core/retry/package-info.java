/**
 * Retry budgets and protection against requests that crash their targets: {@link org.siskinlead.core.retry.CrashGuard}
 * for completions, {@link org.siskinlead.core.retry.CrashSuspects} for forwarded requests.
 */
@NullMarked
package org.siskinlead.core.retry;

import org.jspecify.annotations.NullMarked;
