package configcheck

// checkLimits finds limits that contradict each other or the settings. A limit of
// 0 stands for that of the settings.
func (l *linter) checkLimits() {
	limits, bounds := l.configuration.Limits, l.bounds
	place := func(f Field) Place { return Place{Section: Limits, Field: f} }
	if bounds.HeaderBytes > 0 && limits.HeaderBytes > bounds.HeaderBytes {
		l.add(Warning, OverSettings, place(HeaderBytes), "the limit of %d bytes is over that of the settings, %d, which applies", limits.HeaderBytes, bounds.HeaderBytes)
	}
	if bounds.HeaderTimeout > 0 && limits.HeaderTimeout > bounds.HeaderTimeout {
		l.add(Warning, OverSettings, place(HeaderTimeout), "the timeout of %s is over that of the settings, %s, which applies", limits.HeaderTimeout, bounds.HeaderTimeout)
	}
	switch {
	case limits.BodyBytes < 0:
		l.add(Warning, Negative, place(BodyBytes), "the limit is %d bytes, so that the default of the instances applies", limits.BodyBytes)
	case limits.BodyBytes > maxBodyBytes:
		l.add(Warning, OverSettings, place(BodyBytes), "the limit of %d bytes is over %d, the largest that a service may have", limits.BodyBytes, int64(maxBodyBytes))
	}
	if limits.IdleTimeout > 0 && limits.HeaderTimeout > limits.IdleTimeout {
		l.add(Warning, ShortIdle, place(HeaderTimeout), "a header may take %s, but a connection is closed after %s without a request", limits.HeaderTimeout, limits.IdleTimeout)
	}
}
