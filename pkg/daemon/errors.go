package daemon

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("daemon").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

var (
	errOldVersion = namespace.NewType("old_version")
	errListen     = namespace.NewType("listen")
)
