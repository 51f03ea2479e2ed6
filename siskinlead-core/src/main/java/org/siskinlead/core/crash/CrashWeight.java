package org.siskinlead.core.crash;

/** Weighs a crash as evidence against one of the traits that it accuses. */
public interface CrashWeight {
    /**
     * Computes the weight of one crash.
     * @param share share of all requests that have the trait, between 0 and 1
     * @param suspects number of suspects of the crash, at least 1
     * @return weight; the weights of several crashes are added
     */
    double of(double share, int suspects);

    /**
     * Gets the sum of weights from which a trait is taken for the cause.
     * @return the threshold
     */
    double threshold();

    /**
     * Counts each crash alike.
     * @param crashes number of crashes that convict
     * @return the weight
     */
    static CrashWeight counting(int crashes) {
        return new CrashWeight() {
            @Override
            public double of(double share, int suspects) {
                return 1;
            }

            @Override
            public double threshold() {
                return crashes;
            }
        };
    }

    /**
     * Takes the logarithm of how much more probable a suspect with the trait is if the trait is the cause than by chance,
     * so that a common trait needs more crashes than a rare one, and a crash with many suspects counts less.
     * @param odds odds at which a trait is convicted, such as 200 for 200 to 1
     * @return the weight
     */
    static CrashWeight likelihoodRatio(double odds) {
        return new CrashWeight() {
            @Override
            public double of(double share, int suspects) {
                return -Math.log(1 - Math.pow(1 - share, suspects));
            }

            @Override
            public double threshold() {
                return Math.log(odds);
            }
        };
    }
}
